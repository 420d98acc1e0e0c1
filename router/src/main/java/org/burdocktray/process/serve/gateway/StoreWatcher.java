package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.Confirmation;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.restore.StoreEras;
import org.burdocktray.process.watch.ListedVersions;
import org.burdocktray.process.watch.Timers;
import org.jboss.logging.Logger;

/**
 * Watches the objects of one kind: lists them, then waits for changes, and lists them
 * again when a change may have been missed. When the store returns from a copy, it lists
 * them at once, and once more when that has settled. Invariants: the result of one call
 * at a time is used; no fault of the listener ends the watch. Thread safety: none,
 * confined to one event loop.
 */
final class StoreWatcher {

	private static final Logger LOGGER = Logger.getLogger(StoreWatcher.class);

	private static final long INITIAL_BACKOFF_MILLIS = 50;

	private static final long MAX_BACKOFF_MILLIS = 800;

	/** How soon after the end of an outage the waiting watchers call again. */
	private static final long OUTAGE_CHECK_MILLIS = 100;

	/**
	 * The time between two listings while the store keeps dropping its history, a part of
	 * the time within which changes must take effect.
	 */
	private static final long RELIST_MILLIS = 500;

	/** After the answer that is being handled. */
	private static final long NEXT_TICK_MILLIS = 1;

	/** The listings in place of a watch after which the watch is tried again. */
	private static final int LISTINGS_PER_WATCH = 4;

	private final Timers timers;

	private final Supplier<Timestamp> clock;

	private final ChangeFeed feed;

	/** Asked during an outage, since its calls are cheap. */
	private final ChangeFeed probeFeed;

	private final String kind;

	private final LongSupplier waitMillis;

	private final long batchMillis;

	private final Listener listener;

	private final StoreOutage outage;

	private final StoreEras eras;

	/** Whether this watcher calls during outages, to find out when they end. */
	private final boolean probesOutage;

	private Optional<StoreRevision> revision = Optional.empty();

	private ListedVersions listed = ListedVersions.NONE;

	private long backoffMillis = INITIAL_BACKOFF_MILLIS;

	private boolean unavailable;

	/** Whether the store has answered a cheap call since the last failure. */
	private boolean probed;

	private boolean stopped;

	/** Watches in succession that failed because their history was gone. */
	private int historyLosses;

	private int listingsUntilWatch;

	/** How long this watcher has paused since the last answer. */
	private long pausedMillis;

	/** Counts the calls that were abandoned; their results are not used. */
	private long abandonedCalls;

	/**
	 * Creates a watcher that is not started.
	 * @param vertx runs the timers
	 * @param feed the store
	 * @param probeFeed the store, for calls that may show an old state
	 * @param kind the kind of the objects
	 * @param waitMillis returns how long the next call waits for a change, in
	 * milliseconds
	 * @param batchMillis the delay of the next call after a change, so that one call
	 * returns several changes
	 * @param listener receives the objects and changes
	 * @param outage the outage of the store that all watchers share
	 * @param eras the eras of the store
	 * @param role whether this watcher calls during an outage
	 */
	StoreWatcher(Vertx vertx, ChangeFeed feed, ChangeFeed probeFeed, String kind, LongSupplier waitMillis,
			long batchMillis, Listener listener, StoreOutage outage, StoreEras eras, OutageRole role) {
		this((delayMillis, action) -> vertx.setTimer(delayMillis, (timer) -> action.run()), Timestamp::now, feed,
				probeFeed, kind, waitMillis, batchMillis, listener, outage, eras, role);
	}

	/**
	 * Creates a watcher that is not started.
	 * @param timers runs the timers
	 * @param clock reads the clocks
	 * @param feed the store
	 * @param probeFeed the store, for calls that may show an old state
	 * @param kind the kind of the objects
	 * @param waitMillis returns how long the next call waits for a change, in
	 * milliseconds
	 * @param batchMillis the delay of the next call after a change, so that one call
	 * returns several changes
	 * @param listener receives the objects and changes
	 * @param outage the outage of the store that all watchers share
	 * @param eras the eras of the store
	 * @param role whether this watcher calls during an outage
	 */
	StoreWatcher(Timers timers, Supplier<Timestamp> clock, ChangeFeed feed, ChangeFeed probeFeed, String kind,
			LongSupplier waitMillis, long batchMillis, Listener listener, StoreOutage outage, StoreEras eras,
			OutageRole role) {
		this.timers = timers;
		this.clock = clock;
		this.feed = feed;
		this.probeFeed = probeFeed;
		this.kind = kind;
		this.waitMillis = waitMillis;
		this.batchMillis = batchMillis;
		this.listener = listener;
		this.outage = outage;
		this.eras = eras;
		this.probesOutage = role == OutageRole.PROBES;
	}

	void start() {
		this.eras.addListener(this::onNewEra);
		poll();
	}

	void stop() {
		this.stopped = true;
	}

	// The answer that shows the era is used first; it may be a listing.
	private void onNewEra() {
		this.timers.schedule(NEXT_TICK_MILLIS, () -> {
			boolean isListed = this.revision.filter((listed) -> listed.era() == this.eras.current()).isPresent();
			if (!isListed) {
				listAgain();
			}
		});
		this.timers.schedule(StoreEras.SETTLE_MILLIS, this::listAgain);
	}

	private void listAgain() {
		this.abandonedCalls++;
		this.revision = Optional.empty();
		poll();
	}

	private void schedulePoll(long delayMillis) {
		long abandonedBefore = this.abandonedCalls;
		this.timers.schedule(delayMillis, () -> {
			if (abandonedBefore == this.abandonedCalls) {
				poll();
			}
		});
	}

	private <T> Consumer<T> unlessAbandoned(Consumer<T> handler) {
		long abandonedBefore = this.abandonedCalls;
		return (result) -> {
			if (abandonedBefore == this.abandonedCalls) {
				handler.accept(result);
			}
		};
	}

	private void poll() {
		if (this.stopped) {
			return;
		}
		if (this.outage.isOngoing() && !this.probesOutage) {
			schedulePoll(OUTAGE_CHECK_MILLIS);
			return;
		}
		if (this.unavailable && !this.probed) {
			probe();
			return;
		}
		Timestamp sentAt = this.clock.get();
		if (this.revision.isEmpty()) {
			Consumer<Either<StoreError, ObjectListing>> handler = unlessAbandoned(
					(result) -> handleListing(result, sentAt));
			this.feed.listObjects(this.kind).subscribe(handler::accept);
			return;
		}
		// The connection may have fallen silent in the pause.
		long currentWaitMillis = Math.max(1, this.waitMillis.getAsLong() - this.pausedMillis);
		Consumer<Either<StoreError, ObjectChanges>> handler = unlessAbandoned(
				(result) -> handleChanges(result, sentAt, currentWaitMillis));
		this.feed.awaitChanges(this.kind, this.revision.get(), currentWaitMillis).subscribe(handler::accept);
	}

	private void probe() {
		Consumer<Either<StoreError, ObjectListing>> handler = unlessAbandoned((result) -> {
			if (result.isLeft()) {
				handleFailure(result.getLeft());
				return;
			}
			this.probed = true;
			poll();
		});
		this.probeFeed.listObjects(this.kind).subscribe(handler::accept);
	}

	private void handleListing(Either<StoreError, ObjectListing> result, Timestamp sentAt) {
		if (result.isLeft()) {
			handleFailure(result.getLeft());
			return;
		}
		this.listingsUntilWatch--;
		boolean isWatchPutOff = this.listingsUntilWatch > 0;
		this.revision = Optional.of(result.get().revision()).filter((listed) -> !isWatchPutOff);
		this.listed = ListedVersions.of(result.get());
		Timestamp confirmedAt = confirmedAt(sentAt, result.get().confirmation());
		handleSuccess(() -> this.listener.onListing(result.get(), confirmedAt), isWatchPutOff ? RELIST_MILLIS : 0);
	}

	private void handleChanges(Either<StoreError, ObjectChanges> result, Timestamp sentAt, long waitedMillis) {
		if (result.isLeft()) {
			this.revision = Optional.empty();
			if (result.getLeft() == StoreError.NOT_FOUND) {
				handleLostHistory();
				return;
			}
			handleFailure(result.getLeft());
			return;
		}
		this.historyLosses = 0;
		this.revision = Optional.of(result.get().revision());
		boolean isQuiet = result.get().changes().isEmpty();
		Optional<Confirmation> confirmation = result.get().confirmation();
		Timestamp confirmedAt = (isQuiet && confirmation.isEmpty())
				? sentAt.confirmedByWait(waitedMillis, this.clock.get()) : confirmedAt(sentAt, confirmation);
		// Another VM that passes changes on has paused after them already.
		boolean isPassedOn = confirmation.filter(Confirmation::passedOn).isPresent();
		ObjectChanges changes = this.listed.withoutEarlier(result.get());
		handleSuccess(() -> this.listener.onChanges(changes, confirmedAt),
				(isQuiet || isPassedOn) ? 0 : this.batchMillis);
	}

	private static Timestamp confirmedAt(Timestamp sentAt, Optional<Confirmation> confirmation) {
		return sentAt.minusMillis(confirmation.map(Confirmation::lagMillis).orElse(0L));
	}

	// The store may drop its history for a while. Listings alone then cost half of the
	// calls, and all VMs would repeat both at once.
	private void handleLostHistory() {
		this.historyLosses++;
		if (this.historyLosses == 1) {
			LOGGER.infof("Store history is gone, listing again: kind=%s", this.kind);
			poll();
			return;
		}
		this.listingsUntilWatch = LISTINGS_PER_WATCH;
		schedulePoll(RELIST_MILLIS);
	}

	private void handleSuccess(Runnable notification, long delayMillis) {
		if (this.unavailable) {
			this.unavailable = false;
			LOGGER.infof("Store answers again: kind=%s", this.kind);
		}
		if (this.probesOutage) {
			this.outage.end();
		}
		this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		this.pausedMillis = delayMillis;
		if (!notifyListener(notification)) {
			this.revision = Optional.empty();
			schedulePoll(MAX_BACKOFF_MILLIS);
			return;
		}
		if (delayMillis == 0) {
			poll();
			return;
		}
		schedulePoll(delayMillis);
	}

	// The watch must go on whatever the objects hold.
	private boolean notifyListener(Runnable notification) {
		try {
			notification.run();
			return true;
		}
		catch (RuntimeException ex) {
			LOGGER.errorf(ex, "Objects of the store cannot be applied: kind=%s", this.kind);
			return false;
		}
	}

	private void handleFailure(StoreError error) {
		if (!this.unavailable) {
			this.unavailable = true;
			LOGGER.warnf("Store does not answer: kind=%s error=%s", this.kind, error);
		}
		if (this.probesOutage) {
			this.outage.begin();
		}
		this.probed = false;
		this.listener.onUnavailable();
		long delayMillis = this.backoffMillis;
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * delayMillis);
		schedulePoll(delayMillis);
	}

	/**
	 * What a watcher does while the store is out of reach.
	 */
	enum OutageRole {

		/** It calls, and tells the other watchers when the outage begins and ends. */
		PROBES,

		/** It waits for the end of the outage. */
		WAITS

	}

	/**
	 * Receives the objects and changes that a watcher reads.
	 */
	interface Listener {

		/**
		 * Handles a listing of all objects of the kind.
		 * @param listing the objects
		 * @param sentAt when the call was sent
		 */
		void onListing(ObjectListing listing, Timestamp sentAt);

		/**
		 * Handles changes of objects.
		 * @param changes the changes, empty when the wait ended without any
		 * @param confirmedAt the time whose state the changes show at least
		 */
		void onChanges(ObjectChanges changes, Timestamp confirmedAt);

		/** Handles a failed call to the store. */
		void onUnavailable();

		/**
		 * Returns a listener of the objects alone.
		 * @param onObjects consumer of the objects of each listing, and of those of each
		 * call that have changed, except removals
		 * @param onResponse consumer of the times whose state successful calls show
		 * @return the listener
		 */
		static Listener ofObjects(Consumer<List<StoredObject>> onObjects, Consumer<Timestamp> onResponse) {
			return new ObjectListener(onObjects, onResponse);
		}

	}

}
