package org.burdocktray.process.membership;

import java.util.concurrent.TimeUnit;

/**
 * The periods and bounds of the membership protocol. Thread safety: immutable.
 *
 * @param periodMillis how often a VM probes another one
 * @param probeTimeoutMillis how long a direct probe may take
 * @param indirectProbes how many others are asked to probe a VM that did not answer
 * @param suspicionPeriods how long a suspect may refute, in periods for each doubling of
 * the number of VMs
 * @param urgentFanout to how many VMs an urgent change is sent at once
 * @param maxPiggybackBytes the most bytes of changes in one message
 * @param maxUrgentBytes the most bytes of changes that are sent at once
 * @param reconnectPeriods how often a VM tries to reach one that it believes dead, in
 * periods
 * @param syncMillis how often a VM exchanges its whole table with another one
 * @param retentionMillis how long a dead VM is remembered that the platform does not list
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
