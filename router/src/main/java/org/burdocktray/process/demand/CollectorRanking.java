package org.burdocktray.process.demand;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.RendezvousHash;

/**
 * Selects the collectors of one data centre: the first VMs of a ranking that all VMs
 * compute alike, without those that have not replied. VMs that have stopped stay
 * registered, so they are found out by their silence. Thread safety: none, confined to
 * one event loop.
 */
final class CollectorRanking {

	static final int COLLECTORS = 2;

	/** Several times the interval at which a collector sends sums. */
	private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(10);

	private List<NetworkAddress> ranked = List.of();

	/** When a VM was asked first since it has last replied. */
	private final Map<NetworkAddress, Long> askedNanos = new HashMap<>();

	/** When VMs that do not reply may be asked again. */
	private final Map<NetworkAddress, Long> retryNanos = new HashMap<>();

	void setVms(List<NetworkAddress> vms) {
		this.ranked = RendezvousHash.ranked("demand", vms, NetworkAddress::toString);
		Set<NetworkAddress> known = new HashSet<>(vms);
		this.askedNanos.keySet().retainAll(known);
		this.retryNanos.keySet().retainAll(known);
	}

	/**
	 * Selects the collectors that are sent to now.
	 * @param own this VM, which needs no reply
	 * @param nowNanos the current time of the monotonic clock
	 * @return at most two VMs
	 */
	List<NetworkAddress> select(NetworkAddress own, long nowNanos) {
		List<NetworkAddress> selected = new ArrayList<>();
		for (NetworkAddress vm : this.ranked) {
			if (selected.size() == COLLECTORS) {
				break;
			}
			if (vm.equals(own) || mayReply(vm, nowNanos)) {
				selected.add(vm);
			}
		}
		return selected;
	}

	private boolean mayReply(NetworkAddress vm, long nowNanos) {
		Long retry = this.retryNanos.get(vm);
		if (retry != null && nowNanos - retry < 0) {
			return false;
		}
		if (retry != null) {
			this.retryNanos.remove(vm);
			this.askedNanos.remove(vm);
		}
		if (nowNanos - this.askedNanos.computeIfAbsent(vm, (key) -> nowNanos) <= SILENT_NANOS) {
			return true;
		}
		this.retryNanos.put(vm, nowNanos + RETRY_NANOS);
		return false;
	}

	/**
	 * Records that a VM has sent sums.
	 * @param vm the VM
	 * @param nowNanos the current time of the monotonic clock
	 */
	void recordReply(NetworkAddress vm, long nowNanos) {
		if (this.ranked.contains(vm)) {
			this.askedNanos.put(vm, nowNanos);
			this.retryNanos.remove(vm);
		}
	}

}
