package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.restore.StoreEras;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against outages in which each watcher of each VM called the store on its own.
 */
class StoreWatcherTests {

	private static final long OUTAGE_MILLIS = 2_000;

	private static final long TIMEOUT_MILLIS = 5_000;

	private final Vertx vertx = Vertx.vertx();

	private final StoreOutage outage = new StoreOutage();

	private final FakeFeed feed = new FakeFeed();

	private final FakeFeed probeFeed = new FakeFeed();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void onlyOneWatcherCallsDuringOutage() throws InterruptedException {
		setAvailable(false);
		AtomicInteger probes = start(StoreWatcher.OutageRole.PROBES, "rules");
		AtomicInteger waits = start(StoreWatcher.OutageRole.WAITS, "replicas");
		TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
		assertThat(this.probeFeed.callsOf("rules")).isGreaterThan(3);
		assertThat(this.feed.callsOf("replicas")).isLessThanOrEqualTo(1);
		setAvailable(true);
		awaitListing(probes);
		awaitListing(waits);
	}

	@Test
	void callsDuringOutageAreCheap() throws InterruptedException {
		setAvailable(false);
		AtomicInteger probes = start(StoreWatcher.OutageRole.PROBES, "rules");
		TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
		assertThat(this.feed.callsOf("rules")).isEqualTo(1);
		setAvailable(true);
		awaitListing(probes);
	}

	/**
	 * Guards against a state that may be old: it is not passed on.
	 */
	@Test
	void storeThatAnswersOnlyCheapCallsCountsAsUnavailable() throws InterruptedException {
		this.feed.available = false;
		AtomicInteger listings = start(StoreWatcher.OutageRole.PROBES, "rules");
		TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
		assertThat(listings).hasValue(0);
		assertThat(this.outage.isOngoing()).isTrue();
		this.feed.available = true;
		awaitListing(listings);
	}

	private void setAvailable(boolean isAvailable) {
		this.feed.available = isAvailable;
		this.probeFeed.available = isAvailable;
	}

	@Test
	void watcherOfKindThatFailsAloneKeepsCalling() throws InterruptedException {
		this.feed.failingKind = "replicas";
		AtomicInteger listings = start(StoreWatcher.OutageRole.WAITS, "replicas");
		awaitListing(start(StoreWatcher.OutageRole.PROBES, "rules"));
		this.feed.failingKind = "";
		awaitListing(listings);
	}

	/** Guards against VMs that keep what they know for good after one object. */
	@Test
	void watchGoesOnAfterAFaultOfItsListener() throws InterruptedException {
		AtomicInteger calls = new AtomicInteger();
		AtomicInteger listings = new AtomicInteger();
		start(StoreWatcher.OutageRole.PROBES, "rules", StoreWatcher.Listener.ofObjects((objects) -> {
			if (calls.incrementAndGet() == 1) {
				throw new IllegalStateException("object that nobody expected");
			}
		}, (sentAt) -> listings.incrementAndGet()));
		awaitListing(listings);
		assertThat(this.feed.callsOf("rules")).isGreaterThan(1);
	}

	/** Each VM listed all objects and watched in vain, at once and again and again. */
	@Test
	void listsNowAndThenWhileTheStoreDropsItsHistory() throws InterruptedException {
		this.feed.historyLost = true;
		AtomicInteger listings = start(StoreWatcher.OutageRole.PROBES, "rules");
		TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
		assertThat(listings).hasValueGreaterThanOrEqualTo(3);
		assertThat(this.feed.callsOf("rules") + this.feed.watches.get()).isLessThan(12);
		this.feed.historyLost = false;
		awaitCount(this.feed.waitingWatches);
	}

	private AtomicInteger start(StoreWatcher.OutageRole role, String kind) {
		AtomicInteger listings = new AtomicInteger();
		start(role, kind, StoreWatcher.Listener.ofObjects((objects) -> {
		}, (sentAt) -> listings.incrementAndGet()));
		return listings;
	}

	private void start(StoreWatcher.OutageRole role, String kind, StoreWatcher.Listener listener) {
		StoreWatcher watcher = new StoreWatcher(this.vertx, this.feed, this.probeFeed, kind, () -> TIMEOUT_MILLIS, 0,
				listener, this.outage, new StoreEras(Timestamp::now), role);
		this.vertx.getOrCreateContext().runOnContext((now) -> watcher.start());
	}

	private static void awaitListing(AtomicInteger listings) throws InterruptedException {
		awaitCount(listings);
	}

	private static void awaitCount(AtomicInteger count) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
		while (count.get() == 0 && System.nanoTime() - endNanos < 0) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		assertThat(count).hasPositiveValue();
	}

	private static final class FakeFeed implements ChangeFeed {

		private final AtomicInteger rulesCalls = new AtomicInteger();

		private final AtomicInteger replicasCalls = new AtomicInteger();

		private volatile boolean available = true;

		private final AtomicInteger watches = new AtomicInteger();

		private final AtomicInteger waitingWatches = new AtomicInteger();

		private volatile String failingKind = "";

		private volatile boolean historyLost;

		@Override
		public Single<Either<StoreError, ObjectListing>> listObjects(String kind) {
			(kind.equals("rules") ? this.rulesCalls : this.replicasCalls).incrementAndGet();
			boolean isFailing = !this.available || kind.equals(this.failingKind);
			return Single.just(isFailing ? Either.left(StoreError.UNAVAILABLE)
					: Either.right(new ObjectListing(List.of(), StoreRevision.of(1))));
		}

		@Override
		public Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, StoreRevision afterRevision,
				long waitMillis) {
			this.watches.incrementAndGet();
			if (this.historyLost) {
				return Single.just(Either.left(StoreError.NOT_FOUND));
			}
			this.waitingWatches.incrementAndGet();
			return Single.never();
		}

		private int callsOf(String kind) {
			return (kind.equals("rules") ? this.rulesCalls : this.replicasCalls).get();
		}

	}

}
