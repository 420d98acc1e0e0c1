package org.burdocktray.process.watch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.restore.StoreEras;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.jboss.logging.Logger;

/**
 * What a VM needs to get the store's objects from other VMs and to pass them on: its
 * feeds, and its answers to others. Thread safety: none, confined to one event loop.
 */
public final class StoreSharing {

	private static final Logger LOGGER = Logger.getLogger(StoreSharing.class);

	private final WatchSources sources;

	private final SharedFeed feed;

	private final SharedFeed hintFeed;

	private final ChangeFeed hintStore;

	private final FollowerAnswers answers;

	private final Supplier<Timestamp> clock;

	private final WatchListener listener;

	private boolean watching = true;

	/**
	 * Creates the watch of a VM that calls the store until it knows the other VMs.
	 * @param options how many VMs watch
	 * @param own this VM
	 * @param kinds what is shared
	 * @param platform the parts that this VM calls
	 * @param listener counts calls and answers
	 */
	public StoreSharing(WatchOptions options, Own own, Kinds kinds, Platform platform, WatchListener listener) {
		this.clock = platform.clock();
		this.listener = listener;
		this.hintStore = platform.hintStore();
		this.sources = new WatchSources(options, own.name(), own.dataCentre(), kinds.strictestBounds(),
				platform.random());
		this.answers = new FollowerAnswers(kinds, this.sources, platform.eras(), platform.clock(), platform.timers(),
				this::listForOthers, listener);
		this.feed = new SharedFeed(platform.store(), kinds.confirmed(), own.dataCentre(), this.sources, this.answers,
				platform.eras(), platform.calls(), platform.clock(), platform.timers(), platform.random(), listener);
		this.hintFeed = new SharedFeed(platform.hintStore(), kinds.hints(), own.dataCentre(), this.sources,
				this.answers, platform.eras(), platform.calls(), platform.clock(), platform.timers(), platform.random(),
				listener);
		listener.onWatching(true);
	}

	private void listForOthers(String kind) {
		(this.feed.has(kind) ? this.feed : this.hintFeed).listForOthers(kind);
	}

	/**
	 * Returns the feed of what is confirmed by linearizable answers of the store.
	 * @return the feed
	 */
	public ChangeFeed feed() {
		return this.feed;
	}

	/**
	 * Returns the feed of what may be old. For a kind whose objects must be confirmed, it
	 * tells whether the store answers, without a call if this VM does not call the store.
	 * @return the feed
	 */
	public ChangeFeed hintFeed() {
		return new ChangeFeed() {
			@Override
			public Single<Either<StoreError, ObjectListing>> listObjects(String kind) {
				return StoreSharing.this.hintFeed.has(kind) ? StoreSharing.this.hintFeed.listObjects(kind)
						: probe(kind);
			}

			@Override
			public Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, StoreRevision afterRevision,
					long waitMillis) {
				return StoreSharing.this.hintFeed.has(kind)
						? StoreSharing.this.hintFeed.awaitChanges(kind, afterRevision, waitMillis)
						: StoreSharing.this.hintStore.awaitChanges(kind, afterRevision, waitMillis);
			}
		};
	}

	private Single<Either<StoreError, ObjectListing>> probe(String kind) {
		if (!this.feed.callsStoreNext()) {
			return Single.just(Either.right(new ObjectListing(List.of(), StoreRevision.NONE)));
		}
		return this.hintStore.listObjects(kind).doOnSuccess((result) -> {
			if (result.isLeft()) {
				this.feed.recordStoreResult(kind, false);
			}
		});
	}

	/**
	 * Returns what answers the requests of other VMs.
	 * @return the answers
	 */
	public FollowerAnswers answers() {
		return this.answers;
	}

	/**
	 * Sets the registered VMs.
	 * @param vms the VMs that can be asked, including this one
	 */
	public void setVms(Collection<WatchVm> vms) {
		this.sources.setVms(vms);
	}

	/**
	 * Updates what depends on the time.
	 * @param keyKnown whether the key of the VMs is known
	 */
	public void tick(boolean keyKnown) {
		this.sources.setKeyKnown(keyKnown);
		boolean isWatcher = this.sources.isWatcher(this.clock.get().monotonicNanos());
		if (isWatcher != this.watching) {
			this.watching = isWatcher;
			LOGGER.infof("Watch of the store by this VM: watches=%s", isWatcher);
			this.listener.onWatching(isWatcher);
		}
	}

	/**
	 * This VM. Thread safety: immutable.
	 *
	 * @param name its name
	 * @param dataCentre the data centre in which it runs
	 */
	public record Own(String name, DataCentre dataCentre) {

	}

	/**
	 * The kinds of objects that are shared. Thread safety: immutable.
	 *
	 * @param confirmed the kinds whose objects are confirmed by linearizable answers
	 * @param hints the kinds whose objects may be old
	 */
	public record Kinds(List<WatchedKind> confirmed, List<WatchedKind> hints) {

		private FollowerBounds strictestBounds() {
			return this.confirmed.stream()
				.map(WatchedKind::bounds)
				.min(Comparator.comparingLong(FollowerBounds::boundMillis))
				.orElseThrow();
		}

	}

	/**
	 * What a VM calls. Thread safety: that of its parts.
	 *
	 * @param store the store
	 * @param hintStore the store, for calls that may show an old state
	 * @param eras the eras of the store
	 * @param calls asks other VMs
	 * @param clock reads the clocks
	 * @param timers runs actions later
	 * @param random spreads calls in time
	 */
	public record Platform(ChangeFeed store, ChangeFeed hintStore, StoreEras eras, WatchCalls calls,
			Supplier<Timestamp> clock, Timers timers, RandomGenerator random) {

	}

}
