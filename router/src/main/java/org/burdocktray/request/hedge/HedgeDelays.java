package org.burdocktray.request.hedge;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.IntCountsHistogram;

/**
 * Learns after which time a second run starts: a quantile of the times of first events,
 * by class of requests. Old times are forgotten. Invariants: memory is bounded; there is
 * no delay before enough times are known. Thread safety: none, confined to one event
 * loop.
 */
final class HedgeDelays {

	private static final int MAX_CLASSES = 1_024;

	/** The age and the number of samples at which a histogram is replaced. */
	private static final long MAX_HISTOGRAM_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MAX_HISTOGRAM_SAMPLES = 2_000;

	/** The unit of recorded times, and the longest one of 60 s in this unit. */
	private static final long UNIT_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

	private static final long MAX_UNITS = 600_000;

	/** The precision of recorded times; a higher one takes more memory. */
	private static final int SIGNIFICANT_DIGITS = 1;

	/** Samples beyond the quantile that make it reliable. */
	private static final int MIN_SAMPLES_BEYOND_QUANTILE = 2;

	private static final int MIN_SAMPLES = 20;

	private static final int MAX_MIN_SAMPLES = 500;

	private static final long MAX_CACHED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final double PERCENT = 100;

	private final double quantile;

	private final long minDelayNanos;

	private final long minSamples;

	private final Map<HedgeClass, Times> classes = new BoundedMap<>(MAX_CLASSES);

	HedgeDelays(double quantile, long minDelayNanos) {
		this.quantile = quantile;
		this.minDelayNanos = minDelayNanos;
		this.minSamples = (long) Math.min(MAX_MIN_SAMPLES,
				Math.max(MIN_SAMPLES, Math.ceil(MIN_SAMPLES_BEYOND_QUANTILE / (1 - quantile))));
	}

	/**
	 * Records the time of a first event, or a shorter one if the run was cancelled before
	 * it. The latter is beyond the delay, so that the quantile stays right.
	 * @param hedgeClass the class of the request
	 * @param elapsedNanos the time since the request was sent
	 * @param nowNanos the monotonic time
	 */
	void record(HedgeClass hedgeClass, long elapsedNanos, long nowNanos) {
		Times times = this.classes.computeIfAbsent(hedgeClass, (added) -> new Times(nowNanos));
		times.rotate(nowNanos);
		times.current.recordValue(Math.max(1, Math.min(MAX_UNITS, elapsedNanos / UNIT_NANOS)));
	}

	/**
	 * Returns the delay of a second run.
	 * @param hedgeClass the class of the request
	 * @param nowNanos the monotonic time
	 * @return the delay, empty if too few times are known
	 */
	OptionalLong delayNanos(HedgeClass hedgeClass, long nowNanos) {
		Times times = this.classes.get(hedgeClass);
		if (times == null) {
			return OptionalLong.empty();
		}
		times.rotate(nowNanos);
		if (times.delayNanos.isEmpty() || nowNanos - times.computedNanos > MAX_CACHED_NANOS) {
			times.computedNanos = nowNanos;
			times.delayNanos = computeDelay(times);
		}
		return times.delayNanos;
	}

	private OptionalLong computeDelay(Times times) {
		if (times.current.getTotalCount() + times.previous.getTotalCount() < this.minSamples) {
			return OptionalLong.empty();
		}
		IntCountsHistogram all = times.current.copy();
		all.add(times.previous);
		long quantileNanos = all.getValueAtPercentile(PERCENT * this.quantile) * UNIT_NANOS;
		return OptionalLong.of(Math.max(this.minDelayNanos, quantileNanos));
	}

	private static IntCountsHistogram createHistogram() {
		return new IntCountsHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS);
	}

	private static final class Times {

		private IntCountsHistogram current = createHistogram();

		private IntCountsHistogram previous = createHistogram();

		private long currentSinceNanos;

		private long computedNanos;

		private OptionalLong delayNanos = OptionalLong.empty();

		Times(long nowNanos) {
			this.currentSinceNanos = nowNanos;
		}

		private void rotate(long nowNanos) {
			if (this.current.getTotalCount() < MAX_HISTOGRAM_SAMPLES
					&& nowNanos - this.currentSinceNanos < MAX_HISTOGRAM_NANOS) {
				return;
			}
			IntCountsHistogram oldest = this.previous;
			oldest.reset();
			this.previous = this.current;
			this.current = oldest;
			this.currentSinceNanos = nowNanos;
		}

	}

}
