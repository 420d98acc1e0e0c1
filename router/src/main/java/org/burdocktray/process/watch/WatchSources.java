package org.burdocktray.process.watch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.RendezvousHash;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;

/**
 * Selects where this VM gets objects of the store from: a watcher of its data centre, one
 * of another data centre, or the store itself. The VMs of a data centre that are asked
 * hold its places: as many as it has watchers, given out in the order of the ranking.
 * Invariants: a VM that watches, or that others ask, prefers the store; calls that a VM
 * makes to the store because its watchers fail are spread in time; a watcher that has
 * failed takes no place until it answers again, so that the next one of the ranking is
 * asked; it is retried beside the others, by one call at a time. Thread safety: none,
 * confined to one event loop.
 */
public final class WatchSources {

	/** How long a VM watches after it was asked last. */
	private static final long ASKED_NANOS = TimeUnit.SECONDS.toNanos(15);

	/** How long an answer of another VM shows that the store is lost for this VM only. */
	private static final long PEER_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final long MIN_WATCHER_BACKOFF_MILLIS = 1_000;

	/**
	 * Long, since VMs that have stopped stay registered.
	 */
	private static final long MAX_WATCHER_BACKOFF_MILLIS = 600_000;

	private static final long MIN_SEARCH_BACKOFF_MILLIS = 1_000;

	private static final long MAX_SEARCH_BACKOFF_MILLIS = 30_000;

	/** How long a watcher that has lost the store is asked after the others. */
	private static final long DEMOTION_MILLIS = 2_000;

	private static final int MAX_LOCAL_WATCHERS_TRIED = 2;

	/**
	 * The time between two retries of watchers of this VM, half of it at least. A retry
	 * of a watcher that has not returned delays one call, so they are few; a watcher that
	 * has restarted is to be asked again within seconds.
	 */
	private static final long RETRY_MILLIS = 1_000;

	/** The part of a second that one VM adds to the delay of calls to the store. */
	private static final long SPREAD_MILLIS_PER_VM = 5;

	/**
	 * The part that one VM adds to the delays of calls to a store that is unavailable for
	 * the watchers: to the spread of the first call, up to its maximum, and to the
	 * backoff after it. The later calls of all VMs together do not grow with the fleet.
	 */
	private static final long OUTAGE_MILLIS_PER_VM = 50;

	/** Leaves most of the bound on the age of the rules. */
	private static final long MAX_SPREAD_MILLIS = 300;

	private final WatchOptions options;

	private final String ownName;

	private final DataCentre localDataCentre;

	private final RandomGenerator random;

	/**
	 * The maximum spread of the first call in an outage. A store that rejects all
	 * watchers of a data centre may serve others; they find out within the time in which
	 * changes must take effect.
	 */
	private final long maxOutageSpreadMillis;

	private final Map<String, Failures> watcherFailures = new HashMap<>();

	private final Map<String, Long> demotedUntilNanos = new HashMap<>();

	/** The watcher that was retried last and has not answered since. */
	private Optional<WatchVm> retried = Optional.empty();

	private Optional<Long> nextRetryNanos = Optional.empty();

	private Map<DataCentre, WatcherRanking> rankings = Map.of();

	private int vmCount;

	private boolean keyKnown;

	private Optional<Long> askedNanos = Optional.empty();

	private final Failures storeFailures = new Failures();

	/**
	 * After failures of all watchers that were tried, the store is called for a while.
	 */
	private final Failures watcherSearches = new Failures();

	/** Whether another VM has told that the store is unavailable for it. */
	private boolean storeLostForOthers;

	/** Whether a call has failed at all sources, and no watcher has answered since. */
	private boolean allSourcesLost;

	private Optional<Long> peerAnswerNanos = Optional.empty();

	/** When this VM may call the store although watchers say that it is unavailable. */
	private Optional<Long> storeLostCallNanos = Optional.empty();

	/** When this VM may call the store in place of watchers that fail. */
	private Optional<Long> fallbackNanos = Optional.empty();

	/**
	 * Creates an instance that selects the store, since no VMs are registered.
	 * @param options how many VMs watch
	 * @param ownName the name of this VM
	 * @param localDataCentre the data centre of this VM
	 * @param bounds how soon changes must be known
	 * @param random spreads calls in time
	 */
	public WatchSources(WatchOptions options, String ownName, DataCentre localDataCentre, FollowerBounds bounds,
			RandomGenerator random) {
		this.maxOutageSpreadMillis = bounds.maxSpreadMillis();
		this.options = options;
		this.ownName = ownName;
		this.localDataCentre = localDataCentre;
		this.random = random;
	}

	/**
	 * Sets the registered VMs.
	 * @param vms the VMs that can be asked, including this one
	 */
	public void setVms(Collection<WatchVm> vms) {
		this.vmCount = vms.size();
		Map<DataCentre, WatcherRanking> next = new TreeMap<>(Comparator.comparing(DataCentre::name));
		vms.stream()
			.collect(Collectors.groupingBy(WatchVm::dataCentre))
			.forEach((dataCentre, members) -> next.put(dataCentre, new WatcherRanking(members, this.options)));
		this.rankings = next;
		Set<String> names = vms.stream().map(WatchVm::name).collect(Collectors.toSet());
		this.watcherFailures.keySet().retainAll(names);
		this.demotedUntilNanos.keySet().retainAll(names);
	}

	/**
	 * Sets whether this VM can authenticate itself to others.
	 * @param isKnown whether the key of the VMs is known
	 */
	public void setKeyKnown(boolean isKnown) {
		this.keyKnown = isKnown;
	}

	/**
	 * Returns whether few VMs watch the store.
	 * @return false while the fleet is small or not known
	 */
	public boolean isActive() {
		return this.keyKnown && this.vmCount >= this.options.minVmCount()
				&& this.rankings.containsKey(this.localDataCentre);
	}

	/**
	 * Records that another VM has asked this one.
	 * @param nowNanos the current time of the monotonic clock
	 */
	void recordAsked(long nowNanos) {
		this.askedNanos = Optional.of(nowNanos);
	}

	/**
	 * Returns whether this VM is to watch the store.
	 * @param nowNanos the current time of the monotonic clock
	 * @return true if it is one of the first of the ranking or was asked of late, and
	 * while each VM watches for itself
	 */
	public boolean isWatcher(long nowNanos) {
		return !isActive() || this.askedNanos.filter((asked) -> nowNanos - asked < ASKED_NANOS).isPresent()
				|| firstRankedVms(this.localDataCentre, nowNanos).stream().anyMatch(this::isOwn);
	}

	/**
	 * Selects the next source of a call.
	 * @param tried the sources that have failed the call
	 * @param nowNanos the current time of the monotonic clock
	 * @return the source, empty if the call fails
	 */
	Optional<Selection> next(Collection<WatchSource> tried, long nowNanos) {
		if (!isActive()) {
			return tried.isEmpty() ? Optional.of(new Selection(WatchSource.STORE, 0)) : Optional.empty();
		}
		if (prefersStore(tried, nowNanos)) {
			return Optional.of(new Selection(WatchSource.STORE, 0));
		}
		Optional<WatchVm> retry = dueRetry(tried, nowNanos);
		retry.ifPresent((vm) -> recordRetry(vm, nowNanos));
		Optional<WatchVm> watcher = retry.or(() -> nextWatcher(tried, nowNanos));
		if (watcher.isPresent() || tried.contains(WatchSource.STORE) || !mayCallStore(nowNanos)) {
			this.allSourcesLost |= watcher.isEmpty();
			return watcher.map((vm) -> new Selection(WatchSource.of(vm), 0));
		}
		return Optional.of(new Selection(WatchSource.STORE, fallbackDelayMillis(nowNanos)));
	}

	/**
	 * Returns whether a call that begins now goes to the store first. It selects nothing.
	 * @param nowNanos the current time of the monotonic clock
	 * @return false if it goes to a watcher, or to nobody
	 */
	boolean callsStoreFirst(long nowNanos) {
		List<WatchSource> none = List.of();
		if (!isActive() || prefersStore(none, nowNanos)) {
			return true;
		}
		boolean hasWatcher = dueRetry(none, nowNanos).or(() -> nextWatcher(none, nowNanos)).isPresent();
		return !hasWatcher && mayCallStore(nowNanos);
	}

	private boolean prefersStore(Collection<WatchSource> tried, long nowNanos) {
		// The store may reject all watchers and serve this VM.
		boolean isOwnCallDue = this.allSourcesLost && this.storeLostCallNanos.isPresent() && mayCallStore(nowNanos);
		return (isOwnCallDue || isWatcher(nowNanos)) && !tried.contains(WatchSource.STORE)
				&& this.storeFailures.isOver(nowNanos);
	}

	private boolean searchesWatcher(Collection<WatchSource> tried, long nowNanos) {
		return this.watcherSearches.isOver(nowNanos) || !this.storeFailures.isOver(nowNanos)
				|| tried.contains(WatchSource.STORE);
	}

	/**
	 * Returns whether this VM may call the store now.
	 * @param nowNanos the current time of the monotonic clock
	 * @return false after failures, until the backoff has passed
	 */
	boolean mayCallStore(long nowNanos) {
		return this.storeFailures.isOver(nowNanos)
				&& this.storeLostCallNanos.filter((allowed) -> nowNanos - allowed < 0).isEmpty();
	}

	private Optional<WatchVm> nextWatcher(Collection<WatchSource> tried, long nowNanos) {
		Set<WatchVm> triedVms = watchersAmong(tried);
		boolean hasTriedOne = !triedVms.isEmpty() && this.watcherSearches.hasFailed()
				&& this.storeFailures.isOver(nowNanos);
		if (hasTriedOne || !searchesWatcher(tried, nowNanos)) {
			return Optional.empty();
		}
		boolean isRemoteTried = triedVms.stream().anyMatch((vm) -> !vm.dataCentre().equals(this.localDataCentre));
		long triedLocally = triedVms.stream()
			.filter((vm) -> vm.dataCentre().equals(this.localDataCentre))
			.filter((vm) -> this.retried.filter(vm::equals).isEmpty())
			.count();
		List<WatchVm> candidates = new ArrayList<>();
		if (triedLocally < MAX_LOCAL_WATCHERS_TRIED) {
			candidates.addAll(untriedVms(this.localDataCentre, triedVms, nowNanos));
		}
		if (!isRemoteTried) {
			List<DataCentre> remote = this.rankings.keySet()
				.stream()
				.filter((dataCentre) -> !dataCentre.equals(this.localDataCentre))
				.toList();
			RendezvousHash.ranked(this.ownName, remote, DataCentre::name)
				.forEach((dataCentre) -> candidates.addAll(untriedVms(dataCentre, triedVms, nowNanos)));
		}
		// A remote watcher that has the store goes before a local one that has lost it.
		return candidates.stream()
			.filter((vm) -> !isDemoted(vm, nowNanos))
			.findFirst()
			.or(() -> candidates.stream().findFirst());
	}

	private static Set<WatchVm> watchersAmong(Collection<WatchSource> sources) {
		return sources.stream().flatMap((source) -> source.watcher().stream()).collect(Collectors.toSet());
	}

	// Each VM prefers another watcher; when one is lost, its followers spread over the
	// others.
	private List<WatchVm> untriedVms(DataCentre dataCentre, Set<WatchVm> tried, long nowNanos) {
		List<WatchVm> open = leastFailedVms(dataCentre, nowNanos).stream()
			.filter((vm) -> !isOwn(vm) && !tried.contains(vm))
			.toList();
		return RendezvousHash.ranked(this.ownName, open, WatchVm::name);
	}

	// The first VMs of the ranking that have answered or were not tried; where they are
	// too few, those that have failed least and whose backoff has passed.
	private List<WatchVm> leastFailedVms(DataCentre dataCentre, long nowNanos) {
		WatcherRanking ranking = this.rankings.get(dataCentre);
		return ranking.ranked()
			.stream()
			.filter((vm) -> !isInBackoff(vm, nowNanos))
			.sorted(Comparator.comparingInt(this::failureCount))
			.limit(ranking.watcherCount())
			.toList();
	}

	// A watcher that has failed and would have a place. Without such retries, VMs would
	// stay with the watchers that have replaced it, and it would watch in vain.
	private Optional<WatchVm> dueRetry(Collection<WatchSource> tried, long nowNanos) {
		boolean isDue = this.nextRetryNanos.filter((due) -> nowNanos - due < 0).isEmpty();
		if (!isDue || this.watcherSearches.hasFailed() || !watchersAmong(tried).isEmpty()
				|| !searchesWatcher(tried, nowNanos)) {
			return Optional.empty();
		}
		List<WatchVm> askedVms = leastFailedVms(this.localDataCentre, nowNanos);
		return firstRankedVms(this.localDataCentre, nowNanos).stream()
			.filter((vm) -> !isOwn(vm) && failureCount(vm) > 0 && !askedVms.contains(vm))
			.findFirst();
	}

	private void recordRetry(WatchVm vm, long nowNanos) {
		this.retried = Optional.of(vm);
		long delayMillis = RETRY_MILLIS / 2 + this.random.nextLong(RETRY_MILLIS / 2 + 1);
		this.nextRetryNanos = Optional.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis));
	}

	private int failureCount(WatchVm vm) {
		Failures failures = this.watcherFailures.get(vm.name());
		return (failures != null) ? failures.count() : 0;
	}

	private boolean isInBackoff(WatchVm vm, long nowNanos) {
		Failures failures = this.watcherFailures.get(vm.name());
		return failures != null && !failures.isOver(nowNanos);
	}

	// The first VMs of the ranking whose backoff has passed, also those to be retried.
	private List<WatchVm> firstRankedVms(DataCentre dataCentre, long nowNanos) {
		WatcherRanking ranking = this.rankings.get(dataCentre);
		return ranking.ranked()
			.stream()
			.filter((vm) -> !isInBackoff(vm, nowNanos))
			.limit(ranking.watcherCount())
			.toList();
	}

	private boolean isDemoted(WatchVm vm, long nowNanos) {
		Long until = this.demotedUntilNanos.get(vm.name());
		return until != null && nowNanos - until < 0;
	}

	private boolean isOwn(WatchVm vm) {
		return vm.name().equals(this.ownName);
	}

	private long fallbackDelayMillis(long nowNanos) {
		if (this.fallbackNanos.isEmpty()) {
			long spreadMillis = Math.min(MAX_SPREAD_MILLIS, SPREAD_MILLIS_PER_VM * this.vmCount);
			this.fallbackNanos = Optional
				.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(this.random.nextLong(spreadMillis + 1)));
		}
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(this.fallbackNanos.get() - nowNanos));
	}

	/**
	 * Records that a source has answered.
	 * @param source the source
	 * @param nowNanos the current time of the monotonic clock
	 */
	void recordAnswer(WatchSource source, long nowNanos) {
		if (source.isStore()) {
			this.storeFailures.reset();
			if (this.storeLostCallNanos.isPresent()) {
				recordFallback(nowNanos);
			}
			this.storeLostCallNanos = Optional.empty();
			return;
		}
		this.fallbackNanos = Optional.empty();
		this.storeLostCallNanos = Optional.empty();
		this.allSourcesLost = false;
		this.watcherSearches.reset();
		String name = source.watcher().orElseThrow().name();
		forgetFailures(name);
		this.demotedUntilNanos.remove(name);
		this.peerAnswerNanos = Optional.of(nowNanos);
		if (this.storeLostForOthers) {
			// The store answers others again, so it is worth a call.
			this.storeLostForOthers = false;
			this.storeFailures.shorten(nowNanos, this.random);
		}
	}

	private void forgetFailures(String name) {
		this.watcherFailures.remove(name);
		// From now on it is asked like the others, and counts among those that a call
		// tries.
		this.retried = this.retried.filter((vm) -> !vm.name().equals(name));
	}

	/**
	 * Records that the store has answered a call in place of watchers. The backoff grows
	 * once for all calls that end before it has passed.
	 * @param nowNanos the current time of the monotonic clock
	 */
	void recordFallback(long nowNanos) {
		if (!isWatcher(nowNanos) && this.watcherSearches.isOver(nowNanos)) {
			this.watcherSearches.add(nowNanos, MIN_SEARCH_BACKOFF_MILLIS, MAX_SEARCH_BACKOFF_MILLIS, this.random);
		}
	}

	/**
	 * Records that a source has failed.
	 * @param source the source
	 * @param nowNanos the current time of the monotonic clock
	 */
	void recordFailure(WatchSource source, long nowNanos) {
		if (source.isStore()) {
			if (isActive()) {
				StoreBackoff backoff = storeBackoff(nowNanos);
				long fleetMillis = (backoff == StoreBackoff.FOLLOWER) ? OUTAGE_MILLIS_PER_VM * this.vmCount : 0;
				long minMillis = Math.min(backoff.maxMillis(), Math.max(backoff.minMillis(), fleetMillis));
				this.storeFailures.add(nowNanos, minMillis, backoff.maxMillis(), this.random);
			}
			return;
		}
		this.watcherFailures.computeIfAbsent(source.watcher().orElseThrow().name(), (name) -> new Failures())
			.add(nowNanos, MIN_WATCHER_BACKOFF_MILLIS, MAX_WATCHER_BACKOFF_MILLIS, this.random);
	}

	/**
	 * Records that a watcher has answered that it has lost the store.
	 * @param source the watcher
	 * @param nowNanos the current time of the monotonic clock
	 */
	void recordStoreLost(WatchSource source, long nowNanos) {
		String name = source.watcher().orElseThrow().name();
		forgetFailures(name);
		this.demotedUntilNanos.put(name, nowNanos + TimeUnit.MILLISECONDS.toNanos(DEMOTION_MILLIS));
		this.storeLostForOthers = true;
		boolean isStoreKnown = this.watcherSearches.hasFailed() && this.storeFailures.isOver(nowNanos);
		if (this.storeLostCallNanos.isEmpty() && !isStoreKnown && !isWatcher(nowNanos)) {
			long spreadMillis = Math.min(this.maxOutageSpreadMillis, OUTAGE_MILLIS_PER_VM * this.vmCount);
			long delayMillis = this.random.nextLong(spreadMillis + 1);
			long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
			this.storeLostCallNanos = Optional.of(dueNanos);
			// An earlier failure of this VM's own calls says little since watchers have
			// answered.
			this.storeFailures.endBy(dueNanos, nowNanos);
		}
	}

	/**
	 * Records that a watcher does not have what was asked for, or does not answer yet.
	 * @param source the watcher
	 * @param nowNanos the current time of the monotonic clock
	 */
	void recordBehind(WatchSource source, long nowNanos) {
		this.demotedUntilNanos.put(source.watcher().orElseThrow().name(),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(DEMOTION_MILLIS));
	}

	private StoreBackoff storeBackoff(long nowNanos) {
		List<WatchVm> watchers = firstRankedVms(this.localDataCentre, nowNanos);
		boolean hasPeer = this.peerAnswerNanos.filter((answered) -> nowNanos - answered < PEER_NANOS).isPresent();
		if (!hasPeer && !watchers.isEmpty() && isOwn(watchers.get(0))) {
			return StoreBackoff.PROBER;
		}
		return isWatcher(nowNanos) ? StoreBackoff.WATCHER : StoreBackoff.FOLLOWER;
	}

	/**
	 * A selected source. Thread safety: immutable.
	 *
	 * @param source the source
	 * @param delayMillis how long to wait before it is called
	 */
	record Selection(WatchSource source, long delayMillis) {

	}

	/**
	 * How long a VM waits after failed calls to the store.
	 */
	private enum StoreBackoff {

		/** The first watcher finds out for its data centre when an outage ends. */
		PROBER(50, 800),

		/** The store may reject the first watcher and serve another one. */
		WATCHER(1_000, 8_000),

		/** The store may reject all watchers. */
		FOLLOWER(1_000, 30_000);

		private final long minMillis;

		private final long maxMillis;

		StoreBackoff(long minMillis, long maxMillis) {
			this.minMillis = minMillis;
			this.maxMillis = maxMillis;
		}

		private long minMillis() {
			return this.minMillis;
		}

		private long maxMillis() {
			return this.maxMillis;
		}

	}

	/**
	 * Failures in succession with the time until which they count. Thread safety: none.
	 */
	private static final class Failures {

		private static final int MAX_DOUBLINGS = 16;

		private static final long SHORT_MILLIS = 500;

		/** A failure of that long ago may be that of another outage. */
		private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(5);

		private int count;

		private long untilNanos;

		private long failedNanos;

		private boolean isOver(long nowNanos) {
			return this.count == 0 || nowNanos - this.untilNanos >= 0;
		}

		private boolean hasFailed() {
			return this.count > 0;
		}

		private int count() {
			return this.count;
		}

		private void add(long nowNanos, long minMillis, long maxMillis, RandomGenerator random) {
			long ceilingMillis = Math.min(maxMillis, minMillis << Math.min(MAX_DOUBLINGS, this.count));
			this.count++;
			this.failedNanos = nowNanos;
			long delayMillis = minMillis / 2 + random.nextLong(ceilingMillis - minMillis / 2 + 1);
			this.untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
		}

		private void endBy(long latestNanos, long nowNanos) {
			if (nowNanos - this.failedNanos >= RECENT_NANOS && this.untilNanos - latestNanos > 0) {
				this.untilNanos = latestNanos;
			}
		}

		private void shorten(long nowNanos, RandomGenerator random) {
			if (this.count > 1) {
				this.count = 1;
				long soonNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(random.nextLong(SHORT_MILLIS));
				if (this.untilNanos - soonNanos > 0) {
					this.untilNanos = soonNanos;
				}
			}
		}

		private void reset() {
			this.count = 0;
		}

	}

}
