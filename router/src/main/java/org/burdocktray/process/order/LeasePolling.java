package org.burdocktray.process.order;

import java.util.Collection;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

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

	private static final String PHASE_KEY = "placement lease phase";

	/**
	 * Several, so that the loss of a data centre together with the holder seldom leaves
	 * none of them.
	 */
	private static final int FREQUENT_POLLERS = 4;

	private static final long FREQUENT_POLL_MILLIS = 2_000;

	private static final long RARE_POLL_MILLIS = 15_000;

	/**
	 * VMs of a lower rank read at the rarest interval. Equals the default of
	 * {@code minVmCount}, so that no smaller fleet reads more rarely than without shared
	 * watches.
	 */
	private static final int FREQUENT_AND_RARE_POLLERS = 16;

	/** A VM that reads so takes over at its second read after the loss of the holder. */
	private static final long RAREST_POLL_MILLIS = 60_000;

	/**
	 * Returns how often a VM reads the lease.
	 * @param vmName the name of the VM
	 * @param vmNames the names of the registered VMs
	 * @return the interval in milliseconds
	 */
	public long pollMillis(String vmName, Collection<String> vmNames) {
		boolean isShared = isShared(vmNames);
		long precedingVms = isShared ? precedingByHash(vmName, vmNames)
				: vmNames.stream().filter((name) -> name.compareTo(vmName) < 0).count();
		if (precedingVms < FREQUENT_POLLERS) {
			return FREQUENT_POLL_MILLIS;
		}
		return (isShared && precedingVms >= FREQUENT_AND_RARE_POLLERS) ? RAREST_POLL_MILLIS : RARE_POLL_MILLIS;
	}

	/**
	 * Returns when a VM reads the lease.
	 * @param vmName the name of the VM
	 * @param vmNames the names of the registered VMs
	 * @return the schedule, with a phase where watches are shared
	 */
	public Schedule schedule(String vmName, Collection<String> vmNames) {
		long intervalMillis = pollMillis(vmName, vmNames);
		OptionalLong phaseMillis = isShared(vmNames)
				? OptionalLong.of(Math.floorMod(RendezvousHash.score(PHASE_KEY, vmName), intervalMillis))
				: OptionalLong.empty();
		return new Schedule(intervalMillis, phaseMillis);
	}

	/**
	 * Returns whether schedules follow the registered VMs. Without the section
	 * {@code watch} the first one stays.
	 * @return true if watches are shared from some number of VMs on
	 */
	public boolean followsVms() {
		return this.minVmCount.isPresent();
	}

	private boolean isShared(Collection<String> vmNames) {
		return this.minVmCount.isPresent() && vmNames.size() >= this.minVmCount.getAsInt();
	}

	private static long precedingByHash(String vmName, Collection<String> vmNames) {
		long ownScore = RendezvousHash.score(HASH_KEY, vmName);
		return vmNames.stream().filter((name) -> RendezvousHash.score(HASH_KEY, name) < ownScore).count();
	}

	/**
	 * When a VM reads the lease that another VM holds. Thread safety: immutable.
	 *
	 * @param intervalMillis the interval between reads
	 * @param phaseMillis where in each interval of the monotonic clock the reads are, so
	 * that VMs that start together do not read together; empty if each read follows the
	 * one before by the interval
	 */
	public record Schedule(long intervalMillis, OptionalLong phaseMillis) {

		/**
		 * Returns when the next read is due.
		 * @param nowNanos the time
		 * @return the time, later than now by the interval at most
		 */
		long nextNanos(long nowNanos) {
			long intervalNanos = TimeUnit.MILLISECONDS.toNanos(this.intervalMillis);
			if (this.phaseMillis.isEmpty()) {
				return nowNanos + intervalNanos;
			}
			long phaseNanos = TimeUnit.MILLISECONDS.toNanos(this.phaseMillis.getAsLong());
			return nowNanos + intervalNanos - Math.floorMod(nowNanos - phaseNanos, intervalNanos);
		}

	}

}
