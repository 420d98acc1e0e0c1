package org.burdocktray.process.load;

import java.util.concurrent.TimeUnit;

/**
 * The settings of {@link OutlierEjection}. Thread safety: immutable.
 *
 * @param consecutiveFailures the number of consecutive failures that ejects an upstream
 * @param failureRate the fraction of failed requests that ejects an upstream, 0 to 1
 * @param minWindowRequests the minimum number of requests in a window for the failure
 * rate to apply
 * @param windowNanos the length of a window
 * @param baseEjectionNanos the length of the first ejection
 * @param maxEjectionNanos the longest ejection
 * @param backoffResetNanos how long an upstream must stay healthy until its earlier
 * ejections no longer lengthen the next one
 * @param probeTimeoutNanos the time after which an unanswered probe is sent again
 * @param maxEjectedShare the fraction of a group that may be ejected at the same time, 0
 * to 1
 */
public record EjectionSettings(int consecutiveFailures, double failureRate, int minWindowRequests, long windowNanos,
		long baseEjectionNanos, long maxEjectionNanos, long backoffResetNanos, long probeTimeoutNanos,
		double maxEjectedShare) {

	private static final int MAX_DOUBLINGS = 16;

	/**
	 * Returns the default settings.
	 * @return settings suitable for engines that serve several requests per second
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
