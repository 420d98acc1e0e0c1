package org.burdocktray.process.watch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.burdocktray.model.RendezvousHash;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;

/**
 * Ranks the VMs of one data centre as watchers of the store. All VMs that know the same
 * registered VMs rank them alike. Invariant: the larger third of the VMs, or twice the
 * number of watchers if that is more, comes before the others; each part is ranked by
 * rendezvous hashing. Thread safety: immutable.
 */
final class WatcherRanking {

	private static final String KEY = "watch";

	/** One VM in this many counts as large. */
	private static final int VMS_PER_LARGE_VM = 3;

	private final List<WatchVm> ranked;

	private final int watcherCount;

	/**
	 * Ranks VMs.
	 * @param vms the registered VMs of a data centre
	 * @param options how many of them watch
	 */
	WatcherRanking(Collection<WatchVm> vms, WatchOptions options) {
		int neededCount = (vms.size() + options.vmsPerWatcher() - 1) / options.vmsPerWatcher();
		this.watcherCount = Math.min(vms.size(), Math.max(options.minWatchers(), neededCount));
		List<WatchVm> bySize = vms.stream()
			.sorted(Comparator.comparingDouble(WatchVm::capacity).reversed().thenComparing(WatchVm::name))
			.toList();
		int largeCount = Math.min(vms.size(), Math.max(2 * this.watcherCount, vms.size() / VMS_PER_LARGE_VM));
		List<WatchVm> order = new ArrayList<>(RendezvousHash.ranked(KEY, bySize.subList(0, largeCount), WatchVm::name));
		order.addAll(RendezvousHash.ranked(KEY, bySize.subList(largeCount, bySize.size()), WatchVm::name));
		this.ranked = List.copyOf(order);
	}

	List<WatchVm> ranked() {
		return this.ranked;
	}

	int watcherCount() {
		return this.watcherCount;
	}

}
