package org.burdocktray.process.watch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that call the store although a watcher would answer.
 */
class WatchSourcesTests {

	private static final WatchOptions OPTIONS = new WatchOptions(16, 32, 2);

	private static final DataCentre LOCAL = new DataCentre("dc-0");

	private static final DataCentre REMOTE = new DataCentre("dc-1");

	/** Guards against a backoff that grows twice for one call. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void oneCallInPlaceOfWatchersCountsOnce(long seed) {
		List<WatchVm> vms = vms(32);
		WatchSources sources = sources(vms, new WatcherRanking(vms, OPTIONS).ranked().get(31).name(), seed);
		WatchSource watcher = sources.next(List.of(), 0).orElseThrow().source();
		sources.recordStoreLost(watcher, 0);
		sources.recordAnswer(WatchSource.STORE, 0);
		sources.recordFallback(0);
		Optional<WatchSources.Selection> next = sources.next(List.of(), TimeUnit.MILLISECONDS.toNanos(1_001));
		assertThat(next.orElseThrow().source().isStore()).isFalse();
	}

	/**
	 * Guards against a follower that stays at the store since VMs that have stopped, and
	 * stay registered, take the places of watchers.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void stoppedVmsDoNotKeepAFollowerAtTheStore(long seed) {
		List<WatchVm> vms = vms(64);
		List<WatchVm> ranked = new WatcherRanking(vms, OPTIONS).ranked();
		Set<WatchVm> stopped = new HashSet<>(ranked.subList(0, 16));
		WatchSources sources = sources(vms, ranked.get(63).name(), seed);
		long storeCalls = 0;
		for (long second = 0; second < 3_600; second++) {
			boolean isAtStore = callEndsAtStore(sources, stopped, TimeUnit.SECONDS.toNanos(second));
			storeCalls += (isAtStore && second >= 1_800) ? 1 : 0;
		}
		assertThat(storeCalls).isLessThanOrEqualTo(180);
	}

	/** Guards against a watcher that is forgotten after it was lost for long. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void watcherThatReturnsIsAskedAgain(long seed) {
		List<WatchVm> vms = vms(64);
		List<WatchVm> ranked = new WatcherRanking(vms, OPTIONS).ranked();
		Set<WatchVm> stopped = new HashSet<>(ranked.subList(0, 2));
		WatchSources sources = sources(vms, ranked.get(63).name(), seed);
		for (long second = 0; second < 1_800; second++) {
			callEndsAtStore(sources, stopped, TimeUnit.SECONDS.toNanos(second));
		}
		for (long second = 1_800; second < 2_500; second++) {
			callEndsAtStore(sources, Set.of(), TimeUnit.SECONDS.toNanos(second));
		}
		WatchSource source = sources.next(List.of(), TimeUnit.SECONDS.toNanos(2_500)).orElseThrow().source();
		assertThat(ranked.subList(0, 2)).contains(source.watcher().orElseThrow());
	}

	/**
	 * Guards against a call that asks one more watcher than it may, since one of them was
	 * retried long ago: the time until it reaches the store would be too long.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void watcherThatHasAnsweredItsRetryCounts(boolean hasStore) {
		WatchSources sources = sourcesWithFailedWatcher();
		long retryNanos = TimeUnit.SECONDS.toNanos(2);
		WatchSource retried = sources.next(List.of(), retryNanos).orElseThrow().source();
		assertThat(retried).isEqualTo(failedWatcher());
		if (hasStore) {
			sources.recordAnswer(retried, retryNanos);
		}
		else {
			sources.recordStoreLost(retried, retryNanos);
		}
		List<WatchSource> tried = new ArrayList<>();
		long lossNanos = TimeUnit.SECONDS.toNanos(100);
		while (tried.stream().noneMatch(WatchSource::isStore)) {
			WatchSource source = sources.next(tried, lossNanos).orElseThrow().source();
			tried.add(source);
			if (!source.isStore()) {
				sources.recordFailure(source, lossNanos);
			}
		}
		assertThat(tried.stream().flatMap((source) -> source.watcher().stream()).map(WatchVm::dataCentre))
			.containsExactly(LOCAL, LOCAL, REMOTE);
	}

	/**
	 * Guards against a question about the next source that takes the place of a retry.
	 */
	@Test
	void questionAboutTheNextSourceTakesNoRetry() {
		WatchSources sources = sourcesWithFailedWatcher();
		long retryNanos = TimeUnit.SECONDS.toNanos(2);
		assertThat(sources.callsStoreFirst(retryNanos)).isFalse();
		assertThat(sources.next(List.of(), retryNanos).orElseThrow().source()).isEqualTo(failedWatcher());
	}

	private static WatchSources sourcesWithFailedWatcher() {
		List<WatchVm> vms = vms(32);
		vms.add(new WatchVm("remote-0", REMOTE, new NetworkAddress("10.0.0.2", 1), 1));
		vms.add(new WatchVm("remote-1", REMOTE, new NetworkAddress("10.0.0.2", 2), 1));
		WatchSources sources = sources(vms, new WatcherRanking(vms(32), OPTIONS).ranked().get(31).name(), 1);
		sources.recordFailure(failedWatcher(), 0);
		return sources;
	}

	private static WatchSource failedWatcher() {
		return WatchSource.of(new WatcherRanking(vms(32), OPTIONS).ranked().get(0));
	}

	private static boolean callEndsAtStore(WatchSources sources, Set<WatchVm> stopped, long nowNanos) {
		List<WatchSource> tried = new ArrayList<>();
		while (true) {
			WatchSource source = sources.next(tried, nowNanos).orElseThrow().source();
			tried.add(source);
			if (source.watcher().filter(stopped::contains).isPresent()) {
				sources.recordFailure(source, nowNanos);
				continue;
			}
			sources.recordAnswer(source, nowNanos);
			if (source.isStore() && tried.size() > 1) {
				sources.recordFallback(nowNanos);
			}
			return source.isStore();
		}
	}

	private static WatchSources sources(List<WatchVm> vms, String ownName, long seed) {
		WatchSources sources = new WatchSources(OPTIONS, ownName, LOCAL, new FollowerBounds(3_000),
				new SplittableRandom(seed));
		sources.setVms(vms);
		sources.setKeyKnown(true);
		return sources;
	}

	private static List<WatchVm> vms(int count) {
		List<WatchVm> vms = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			vms.add(new WatchVm("vm-" + index, LOCAL, new NetworkAddress("10.0.0.1", 1 + index), 1));
		}
		return vms;
	}

}
