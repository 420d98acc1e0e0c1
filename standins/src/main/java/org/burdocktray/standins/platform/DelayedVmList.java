package org.burdocktray.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The list of VMs as it was some time ago. Invariant: the list that is given out never
 * goes back to an older one while the lag stays the same. Thread safety: none, owned by
 * one event loop.
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
