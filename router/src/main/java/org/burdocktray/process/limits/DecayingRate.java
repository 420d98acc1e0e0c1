package org.burdocktray.process.limits;

/**
 * An exponentially decaying count of events and the rate derived from it. Thread safety:
 * confined to one thread at a time.
 */
final class DecayingRate {

	private final double windowNanos;

	private double count;

	private long updatedNanos;

	DecayingRate(double windowNanos, long nowNanos) {
		this.windowNanos = windowNanos;
		this.updatedNanos = nowNanos;
	}

	void add(double events, long nowNanos) {
		decay(nowNanos);
		this.count += events;
	}

	double count(long nowNanos) {
		decay(nowNanos);
		return this.count;
	}

	double perNano(long nowNanos) {
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
