package org.burdocktray.process.balance;

import java.util.concurrent.TimeUnit;

/**
 * Smooths a rate of requests and estimates it a moment ahead, from its slope (double
 * exponential smoothing). Invariant: the estimate is within a factor of two of the
 * smoothed rate. Thread safety: none, confined to one event loop.
 */
final class DemandTrend {

	/** Demand is measured every half second and varies with single arrivals. */
	private static final double LEVEL_SECONDS = 1.0;

	private static final double SLOPE_SECONDS = 2.0;

	/** The time until a changed share takes effect at engines. */
	private static final double HORIZON_SECONDS = 1.0;

	private static final double MAX_FACTOR = 2;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private double level;

	private double slopePerSecond;

	private long measuredNanos;

	private boolean hasValue;

	/**
	 * Records a measured rate. A measurement that is not later than the last one is
	 * ignored.
	 * @param rate the rate
	 * @param nowNanos when it was measured, by the monotonic clock
	 */
	void record(double rate, long nowNanos) {
		if (!this.hasValue) {
			this.level = rate;
			this.measuredNanos = nowNanos;
			this.hasValue = true;
			return;
		}
		double seconds = (nowNanos - this.measuredNanos) / NANOS_PER_SECOND;
		if (seconds <= 0) {
			return;
		}
		this.measuredNanos = nowNanos;
		double previous = this.level;
		double expected = Math.max(0, previous + this.slopePerSecond * seconds);
		this.level = expected + (1 - Math.exp(-seconds / LEVEL_SECONDS)) * (rate - expected);
		this.slopePerSecond += (1 - Math.exp(-seconds / SLOPE_SECONDS))
				* ((this.level - previous) / seconds - this.slopePerSecond);
	}

	/**
	 * Estimates the rate a moment ahead.
	 * @return the estimate, 0 without a measurement
	 */
	double ahead() {
		double estimate = this.level + HORIZON_SECONDS * this.slopePerSecond;
		return Math.max(this.level / MAX_FACTOR, Math.min(this.level * MAX_FACTOR, estimate));
	}

}
