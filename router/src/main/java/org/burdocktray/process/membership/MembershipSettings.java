package org.burdocktray.process.membership;

import java.util.concurrent.TimeUnit;

/**
 * Periods and limits of the membership protocol. Thread safety: immutable.
 *
 * @param periodMillis the interval between the probes of a VM
 * @param probeTimeoutMillis the timeout of a direct probe
 * @param indirectProbes the number of VMs that are requested to probe a VM that did not
 * respond
 * @param suspicionPeriods the time a suspect has to refute the suspicion, in periods for
 * each doubling of the number of VMs
 * @param urgentFanout the number of VMs to which an urgent change is sent immediately
 * @param maxPiggybackBytes the maximum number of bytes of changes in one message
 * @param maxUrgentBytes the maximum number of bytes of changes that are sent immediately
 * @param reconnectPeriods the average number of periods between attempts to contact a
 * dead VM
 * @param syncMillis the interval between full synchronisations with another VM
 * @param retentionMillis how long the entry of a dead or leaving VM is kept if the
 * platform does not list the VM
 */
public record MembershipSettings(long periodMillis, long probeTimeoutMillis, int indirectProbes, int suspicionPeriods,
		int urgentFanout, int maxPiggybackBytes, int maxUrgentBytes, int reconnectPeriods, long syncMillis,
		long retentionMillis) {

	/**
	 * Returns the values used in production.
	 * @return the settings
	 */
	public static MembershipSettings defaults() {
		return new MembershipSettings(1_000, 400, 3, 1, 4, 1_000, 16_000, 3, 60_000, 600_000);
	}

	long periodNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.periodMillis);
	}

	long syncNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.syncMillis);
	}

	long retentionNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.retentionMillis);
	}

	long suspicionNanos(int memberCount) {
		int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, memberCount));
		return this.periodNanos() * (2L + (long) this.suspicionPeriods * doublings);
	}

	long indirectTimeoutMillis() {
		return this.periodMillis - this.probeTimeoutMillis;
	}

}
