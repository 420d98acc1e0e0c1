package org.burdocktray.process.limits;

/**
 * A token bucket. Invariant: over any time it gives out at most its burst, the rate times
 * that time and the excess of one cost over the burst, but for rounding. Thread safety:
 * confined to one thread at a time.
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double ROUNDING = 1e-9;

	private double ratePerNano;

	private double burst;

	private double level;

	private long updatedNanos;

	/**
	 * Creates a full bucket.
	 * @param ratePerSecond the rate at which it fills
	 * @param burst the most it holds
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
	 * Returns how long a cost has to wait. A cost above the burst needs a full bucket and
	 * leaves a debt.
	 * @param cost the cost
	 * @param nowNanos the time
	 * @return 0 when it can be taken now; infinite when the bucket has no rate
	 */
	public double waitNanos(double cost, long nowNanos) {
		refill(nowNanos);
		double missing = Math.min(cost, this.burst) - this.level;
		// A wait that was told must suffice in spite of rounding.
		if (missing <= ROUNDING * this.burst) {
			return 0;
		}
		return missing / this.ratePerNano;
	}

	/**
	 * Takes a cost, also when it leaves a debt.
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
