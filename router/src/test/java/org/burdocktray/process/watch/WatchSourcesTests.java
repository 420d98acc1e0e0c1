package org.burdocktray.process.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that call the store although a watcher would answer.
 */
class WatchSourcesTests {

	private static final WatchOptions OPTIONS = new WatchOptions(16, 32, 2);

	private static final DataCentre LOCAL = new DataCentre("dc-0");

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

	private static WatchSources sources(List<WatchVm> vms, String ownName, long seed) {
		WatchSources sources = new WatchSources(OPTIONS, ownName, LOCAL, new SplittableRandom(seed));
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
