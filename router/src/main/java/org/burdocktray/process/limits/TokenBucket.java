package org.burdocktray.process.limits;

/**
 * A token bucket. Invariant: over any period the consumed cost is at most the sum of the
 * burst, the rate times the length of the period, and the excess of one cost over the
 * burst, except for rounding errors. Thread safety: confined to one thread at a time.
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double ROUNDING_TOLERANCE = 1e-9;

	private double ratePerNano;

	private double burst;

	private double level;

	private long updatedNanos;

	/**
	 * Creates a full bucket.
	 * @param ratePerSecond the refill rate
	 * @param burst the maximum level
	 * @param nowNanos the time
	 */
	public TokenBucket(double ratePerSecond, double burst, long nowNanos) {
		this.ratePerNano = ratePerSecond / NANOS_PER_SECOND;
		this.burst = burst;
		this.level = burst;
		this.updatedNanos = nowNanos;
	}

	void resize(double ratePerSecond, double newBurst, long nowNanos) {
		refill(nowNanos);
		this.ratePerNano = ratePerSecond / NANOS_PER_SECOND;
		this.burst = newBurst;
		this.level = Math.min(this.level, newBurst);
	}

	/**
	 * Returns the time until a cost can be consumed. A cost above the burst requires a
	 * full bucket and leaves a negative level.
	 * @param cost the cost
	 * @param nowNanos the time
	 * @return the time in nanoseconds; 0 if the cost can be consumed now, infinite if the
	 * rate is 0
	 */
	public double waitNanos(double cost, long nowNanos) {
		refill(nowNanos);
		double deficit = Math.min(cost, this.burst) - this.level;
		// Waiting for the returned time must suffice despite rounding errors.
		if (deficit <= ROUNDING_TOLERANCE * this.burst) {
			return 0;
		}
		return deficit / this.ratePerNano;
	}

	/**
	 * Consumes a cost, even if this leaves a negative level.
	 * @param cost the cost
	 */
	public void consume(double cost) {
		this.level -= cost;
	}

	void clear() {
		this.level = 0;
	}

	void refund(double cost) {
		this.level = Math.min(this.burst, this.level + cost);
	}

	private void refill(long nowNanos) {
		long elapsedNanos = nowNanos - this.updatedNanos;
		if (elapsedNanos <= 0) {
			return;
		}
		this.level = Math.min(this.burst, this.level + elapsedNanos * this.ratePerNano);
		this.updatedNanos = nowNanos;
	}

}
