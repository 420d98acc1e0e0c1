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
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.jboss.logging.Logger;

/**
 * Follows the objects of one kind: lists them, then waits for changes, and lists them
 * again when a change may have been missed. Invariant: one call is in progress at a time.
 * Thread safety: none, confined to one event loop.
 */
final class StoreWatcher {

	private static final Logger LOGGER = Logger.getLogger(StoreWatcher.class);

	private static final long INITIAL_BACKOFF_MILLIS = 50;

	private static final long MAX_BACKOFF_MILLIS = 800;

	private final Vertx vertx;

	private final ChangeFeed feed;

	private final String kind;

	private final LongSupplier waitMillis;

	private final long batchMillis;

	private final Listener listener;

	private Optional<Long> revision = Optional.empty();

	private long backoffMillis = INITIAL_BACKOFF_MILLIS;

	private boolean unavailable;

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
	StoreWatcher(Vertx vertx, ChangeFeed feed, String kind, LongSupplier waitMillis, long gatherMillis,
			Listener listener) {
		this.vertx = vertx;
		this.feed = feed;
		this.kind = kind;
		this.waitMillis = waitMillis;
		this.batchMillis = gatherMillis;
		this.listener = listener;
	}

	void start() {
		poll();
	}

	void stop() {
		this.stopped = true;
	}

	private void poll() {
		if (this.stopped) {
			return;
		}
		Timestamp sent = Timestamp.now();
		if (this.revision.isEmpty()) {
			this.feed.listing(this.kind).subscribe((answer) -> handleListing(answer, sent));
			return;
		}
		this.feed.changes(this.kind, this.revision.get(), this.waitMillis.getAsLong())
			.subscribe((answer) -> handleChanges(answer, sent));
	}

	private void handleListing(Either<StoreError, ObjectListing> answer, Timestamp sent) {
		if (answer.isLeft()) {
			handleFailure(answer.getLeft());
			return;
		}
		this.revision = Optional.of(answer.get().revision());
		handleSuccess(() -> this.listener.onListing(answer.get(), sent), 0);
	}

	private void handleChanges(Either<StoreError, ObjectChanges> answer, Timestamp sent) {
		if (answer.isLeft()) {
			this.revision = Optional.empty();
			if (answer.getLeft() == StoreError.NOT_FOUND) {
				LOGGER.infof("Store history is gone, listing again: kind=%s", this.kind);
				poll();
				return;
			}
			handleFailure(answer.getLeft());
			return;
		}
		this.revision = Optional.of(answer.get().revision());
		boolean isQuiet = answer.get().changes().isEmpty();
		handleSuccess(() -> this.listener.onChanges(answer.get(), sent), isQuiet ? 0 : this.batchMillis);
	}

	private void handleSuccess(Runnable notification, long thenMillis) {
		if (this.unavailable) {
			this.unavailable = false;
			LOGGER.infof("Store answers again: kind=%s", this.kind);
		}
		this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		notification.run();
		if (thenMillis == 0) {
			poll();
			return;
		}
		this.vertx.setTimer(thenMillis, (timer) -> poll());
	}

	private void handleFailure(StoreError error) {
		if (!this.unavailable) {
			this.unavailable = true;
			LOGGER.warnf("Store does not answer: kind=%s error=%s", this.kind, error);
		}
		this.listener.onUnavailable();
		long pause = this.backoffMillis;
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * pause);
		this.vertx.setTimer(pause, (timer) -> poll());
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
		void onListing(ObjectListing listing, Timestamp sent);

		/**
		 * Takes in changes.
		 * @param changes the changes, none when the wait passed without any
		 * @param sent when they were asked for
		 */
		void onChanges(ObjectChanges changes, Timestamp sent);

		/** Takes in that the store did not answer. */
		void onUnavailable();

		/**
		 * Makes a listener that looks at single objects.
		 * @param onObject takes an object of a listing or a change that is no removal
		 * @param onAnswer takes when an answered call was sent
		 * @return the listener
		 */
		static Listener ofObjects(Consumer<StoredObject> onObject, Consumer<Timestamp> onAnswer) {
			return new ObjectListener(onObject, onAnswer);
		}

	}

}
