package org.burdocktray.process.bundle;

import java.util.Comparator;
import java.util.List;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.Vm;

/**
 * Selects the VMs of a data centre that watch the store: those whose names have the
 * highest hash scores. VMs with different local views of the members may select different
 * watchers, which only affects the number of calls. Thread safety: stateless.
 */
final class WatcherSelection {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final long MIX_MULTIPLIER = 0x9e3779b97f4a7c15L;

	private WatcherSelection() {
	}

	static boolean isWatcher(String vmName, DataCentre dataCentre, List<Vm> alive, int watchers) {
		Comparator<String> byScore = Comparator.comparingLong(WatcherSelection::score)
			.thenComparing(Comparator.naturalOrder());
		long higher = alive.stream()
			.filter((vm) -> vm.dataCentre().equals(dataCentre))
			.map(Vm::name)
			.filter((name) -> byScore.compare(name, vmName) > 0)
			.distinct()
			.count();
		return higher < watchers;
	}

	private static long score(String name) {
		long hash = FNV_OFFSET;
		for (int index = 0; index < name.length(); index++) {
			hash = (hash ^ name.charAt(index)) * FNV_PRIME;
		}
		hash = (hash ^ (hash >>> 32)) * MIX_MULTIPLIER;
		return hash ^ (hash >>> 29);
	}

}
