package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.freshness.RulesFreshness.Moment;
import org.jboss.logging.Logger;

/**
 * Follows the objects of one kind: lists them, then waits for changes, and lists them
 * again when a change may have been missed. Invariant: one call is in progress at a time.
 * Thread safety: none, confined to one event loop.
 */
final class StoreFollower {

	private static final Logger LOGGER = Logger.getLogger(StoreFollower.class);

	private static final long FIRST_PAUSE_MILLIS = 50;

	private static final long MAX_PAUSE_MILLIS = 800;

	private final Vertx vertx;

	private final ChangeFeed feed;

	private final String kind;

	private final LongSupplier waitMillis;

	private final long gatherMillis;

	private final Listener listener;

	private Optional<Long> revision = Optional.empty();

	private long pauseMillis = FIRST_PAUSE_MILLIS;

	private boolean lost;

	private boolean stopped;

	/**
	 * Creates a follower that does not follow yet.
	 * @param vertx the timers
	 * @param feed the store
	 * @param kind the kind of the objects
	 * @param waitMillis how long the next call waits for a change
	 * @param gatherMillis how long further changes gather after one, so that one call
	 * tells of many
	 * @param listener takes what it hears
	 */
	StoreFollower(Vertx vertx, ChangeFeed feed, String kind, LongSupplier waitMillis, long gatherMillis,
			Listener listener) {
		this.vertx = vertx;
		this.feed = feed;
		this.kind = kind;
		this.waitMillis = waitMillis;
		this.gatherMillis = gatherMillis;
		this.listener = listener;
	}

	void start() {
		next();
	}

	void stop() {
		this.stopped = true;
	}

	private void next() {
		if (this.stopped) {
			return;
		}
		Moment sent = Moment.now();
		if (this.revision.isEmpty()) {
			this.feed.listing(this.kind).subscribe((answer) -> listed(answer, sent));
			return;
		}
		this.feed.changes(this.kind, this.revision.get(), this.waitMillis.getAsLong())
			.subscribe((answer) -> changed(answer, sent));
	}

	private void listed(Either<StoreError, ObjectListing> answer, Moment sent) {
		if (answer.isLeft()) {
			failed(answer.getLeft());
			return;
		}
		this.revision = Optional.of(answer.get().revision());
		succeeded(() -> this.listener.listed(answer.get(), sent), 0);
	}

	private void changed(Either<StoreError, ObjectChanges> answer, Moment sent) {
		if (answer.isLeft()) {
			this.revision = Optional.empty();
			if (answer.getLeft() == StoreError.NOT_FOUND) {
				LOGGER.infof("Store history is gone, listing again: kind=%s", this.kind);
				next();
				return;
			}
			failed(answer.getLeft());
			return;
		}
		this.revision = Optional.of(answer.get().revision());
		boolean isQuiet = answer.get().changes().isEmpty();
		succeeded(() -> this.listener.changed(answer.get(), sent), isQuiet ? 0 : this.gatherMillis);
	}

	private void succeeded(Runnable notification, long thenMillis) {
		if (this.lost) {
			this.lost = false;
			LOGGER.infof("Store answers again: kind=%s", this.kind);
		}
		this.pauseMillis = FIRST_PAUSE_MILLIS;
		notification.run();
		if (thenMillis == 0) {
			next();
			return;
		}
		this.vertx.setTimer(thenMillis, (timer) -> next());
	}

	private void failed(StoreError error) {
		if (!this.lost) {
			this.lost = true;
			LOGGER.warnf("Store does not answer: kind=%s error=%s", this.kind, error);
		}
		this.listener.lost();
		long pause = this.pauseMillis;
		this.pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pause);
		this.vertx.setTimer(pause, (timer) -> next());
	}

	/**
	 * Takes what a follower hears.
	 */
	interface Listener {

		/**
		 * Takes in all objects of the kind.
		 * @param listing the objects
		 * @param sent when they were asked for
		 */
		void listed(ObjectListing listing, Moment sent);

		/**
		 * Takes in changes.
		 * @param changes the changes, none when the wait passed without any
		 * @param sent when they were asked for
		 */
		void changed(ObjectChanges changes, Moment sent);

		/** Takes in that the store did not answer. */
		void lost();

		/**
		 * Makes a listener that looks at single objects.
		 * @param onObject takes an object of a listing or a change that is no removal
		 * @param onAnswer takes when an answered call was sent
		 * @return the listener
		 */
		static Listener ofObjects(Consumer<StoredObject> onObject, Consumer<Moment> onAnswer) {
			return new ObjectListener(onObject, onAnswer);
		}

	}

}
