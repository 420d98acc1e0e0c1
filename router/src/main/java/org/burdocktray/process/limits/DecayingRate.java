package org.burdocktray.process.limits;

/**
 * An exponentially decaying count of events and the rate derived from it. Thread safety:
 * confined to one thread at a time.
 */
public final class DecayingRate {

	private final double windowNanos;

	private double count;

	private long updatedNanos;

	/**
	 * Creates a rate without events.
	 * @param windowNanos the time in which the count of an event decays to 1/e
	 * @param nowNanos the current time of the monotonic clock
	 */
	public DecayingRate(double windowNanos, long nowNanos) {
		this.windowNanos = windowNanos;
		this.updatedNanos = nowNanos;
	}

	/**
	 * Adds events.
	 * @param events their number
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void add(double events, long nowNanos) {
		decay(nowNanos);
		this.count += events;
	}

	/**
	 * Returns the decayed count.
	 * @param nowNanos the current time of the monotonic clock
	 * @return the count
	 */
	public double count(long nowNanos) {
		decay(nowNanos);
		return this.count;
	}

	/**
	 * Returns the rate.
	 * @param nowNanos the current time of the monotonic clock
	 * @return events per nanosecond
	 */
	public double perNano(long nowNanos) {
		return count(nowNanos) / this.windowNanos;
	}

	private void decay(long nowNanos) {
		long elapsedNanos = nowNanos - this.updatedNanos;
		if (elapsedNanos <= 0) {
			return;
		}
		this.count *= Math.exp(-elapsedNanos / this.windowNanos);
		this.updatedNanos = nowNanos;
	}

}
