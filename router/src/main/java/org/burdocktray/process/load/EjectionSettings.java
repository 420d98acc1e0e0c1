package org.burdocktray.process.load;

import java.util.concurrent.TimeUnit;

/**
 * The bounds of {@link OutlierEjection}. Thread safety: immutable.
 *
 * @param consecutiveFailures failures in a row that eject an upstream
 * @param failureRate the share of failed requests that ejects an upstream, 0 to 1
 * @param minWindowRequests the fewest requests in a window for the rate to count
 * @param windowNanos the length of a window
 * @param baseEjectionNanos the length of the first ejection
 * @param maxEjectionNanos the longest ejection
 * @param backoffResetNanos how long an upstream stays healthy until its earlier ejections
 * no longer count
 * @param probeTimeoutNanos how long until an unanswered probe is sent again
 * @param maxEjectedShare the share of a group that may be ejected at a time, 0 to 1
 */
public record EjectionSettings(int consecutiveFailures, double failureRate, int minWindowRequests, long windowNanos,
		long baseEjectionNanos, long maxEjectionNanos, long backoffResetNanos, long probeTimeoutNanos,
		double maxEjectedShare) {

	private static final int MAX_DOUBLINGS = 16;

	/**
	 * The default bounds.
	 * @return settings that fit engines which serve several requests a second
	 */
	public static EjectionSettings defaults() {
		return new EjectionSettings(3, 0.5, 10, TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(2),
				TimeUnit.SECONDS.toNanos(60), TimeUnit.MINUTES.toNanos(5), TimeUnit.SECONDS.toNanos(2), 0.5);
	}

	long ejectionNanos(int earlierEjections) {
		int doublings = Math.min(earlierEjections, MAX_DOUBLINGS);
		return Math.min(this.maxEjectionNanos, this.baseEjectionNanos << doublings);
	}

}
