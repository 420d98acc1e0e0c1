package org.burdocktray.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The history of the list of VMs, which returns the list as it was a given time ago.
 * While the lag is constant, the returned list is never replaced by an older one. Thread
 * safety: confined to one event loop.
 */
final class DelayedVmList {

	private final Deque<Entry> newestFirst = new ArrayDeque<>();

	void set(List<ListedVm> vms, long nowNanos) {
		this.newestFirst.addFirst(new Entry(nowNanos, List.copyOf(vms)));
	}

	List<ListedVm> visibleAt(long nowNanos, long lagMillis) {
		long lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
		for (Entry entry : this.newestFirst) {
			if (nowNanos - entry.setAtNanos() >= lagNanos) {
				return entry.vms();
			}
		}
		return List.of();
	}

	private record Entry(long setAtNanos, List<ListedVm> vms) {
	}

}
