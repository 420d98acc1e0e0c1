package org.burdocktray.process.order;

import java.util.OptionalInt;

/**
 * How often a VM reads the lease that another VM holds. Invariants: the first VMs by name
 * read often, so that one of them takes over soon; some others read rarely, and take over
 * when none of the first is left; in a large fleet that shares its watches of the store,
 * the rest reads more rarely still, so that reads hardly grow with the VMs. Thread
 * safety: immutable.
 *
 * @param minVmCount the number of VMs from which watches are shared, empty if they are
 * not
 */
public record LeasePolling(OptionalInt minVmCount) {

	private static final int FREQUENT_POLLERS = 4;

	private static final long FREQUENT_POLL_MILLIS = 2_000;

	private static final long RARE_POLL_MILLIS = 15_000;

	/** Frequent and rare pollers where watches are shared. */
	private static final int POLLERS = 16;

	/** A VM that reads so takes over at its second read after the loss of the holder. */
	private static final long RAREST_POLL_MILLIS = 60_000;

	/**
	 * Returns how often a VM reads the lease.
	 * @param precedingVms the registered VMs that precede it by name
	 * @param vmCount the registered VMs
	 * @return the interval in milliseconds
	 */
	public long pollMillis(long precedingVms, long vmCount) {
		if (precedingVms < FREQUENT_POLLERS) {
			return FREQUENT_POLL_MILLIS;
		}
		boolean isShared = this.minVmCount.isPresent() && vmCount >= this.minVmCount.getAsInt();
		return (isShared && precedingVms >= POLLERS) ? RAREST_POLL_MILLIS : RARE_POLL_MILLIS;
	}

}
