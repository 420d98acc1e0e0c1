package org.burdocktray.process.order;

import java.util.Collection;
import java.util.OptionalInt;

import org.burdocktray.model.RendezvousHash;

/**
 * How often a VM reads the lease that another VM holds. Invariants: the first VMs of an
 * order that all VMs know read often, so that one of them takes over soon; some others
 * read rarely, and take over when none of the first is left; in a large fleet that shares
 * its watches of the store, the rest reads more rarely still, so that reads hardly grow
 * with the VMs. There the order is by a hash, since by name the first VMs are often those
 * of one data centre, which may be cut off as a whole. Thread safety: immutable.
 *
 * @param minVmCount the number of VMs from which watches are shared, empty if they are
 * not
 */
public record LeasePolling(OptionalInt minVmCount) {

	private static final String HASH_KEY = "placement lease";

	private static final int FREQUENT_POLLERS = 4;

	private static final long FREQUENT_POLL_MILLIS = 2_000;

	private static final long RARE_POLL_MILLIS = 15_000;

	/** Frequent and rare pollers where watches are shared. */
	private static final int POLLERS = 16;

	/** A VM that reads so takes over at its second read after the loss of the holder. */
	private static final long RAREST_POLL_MILLIS = 60_000;

	/**
	 * Returns how often a VM reads the lease.
	 * @param vmName the name of the VM
	 * @param vmNames the names of the registered VMs
	 * @return the interval in milliseconds
	 */
	public long pollMillis(String vmName, Collection<String> vmNames) {
		boolean isShared = this.minVmCount.isPresent() && vmNames.size() >= this.minVmCount.getAsInt();
		long precedingVms = isShared ? precedingByHash(vmName, vmNames)
				: vmNames.stream().filter((name) -> name.compareTo(vmName) < 0).count();
		if (precedingVms < FREQUENT_POLLERS) {
			return FREQUENT_POLL_MILLIS;
		}
		return (isShared && precedingVms >= POLLERS) ? RAREST_POLL_MILLIS : RARE_POLL_MILLIS;
	}

	private static long precedingByHash(String vmName, Collection<String> vmNames) {
		long ownScore = RendezvousHash.score(HASH_KEY, vmName);
		return vmNames.stream().filter((name) -> RendezvousHash.score(HASH_KEY, name) < ownScore).count();
	}

}
