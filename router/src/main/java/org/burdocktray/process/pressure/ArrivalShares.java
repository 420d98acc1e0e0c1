package org.burdocktray.process.pressure;

import java.util.concurrent.TimeUnit;

/**
 * The rates of new requests at this VM by what became of them, as decaying means over
 * about two seconds. Thread safety: none, confined to one event loop.
 */
final class ArrivalShares {

	private static final double MEAN_SECONDS = 2;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private double served;

	private double handedOver;

	private double rejected;

	private double fromOthers;

	private long lastNanos;

	ArrivalShares(long nowNanos) {
		this.lastNanos = nowNanos;
	}

	void recordServed(long nowNanos) {
		decay(nowNanos);
		this.served++;
	}

	void recordHandedOver(long nowNanos) {
		decay(nowNanos);
		this.handedOver++;
	}

	/**
	 * Records that a request was not taken by the VM to which it was handed.
	 * @param nowNanos the current time of the monotonic clock
	 */
	void withdrawHandedOver(long nowNanos) {
		decay(nowNanos);
		this.handedOver = Math.max(0, this.handedOver - 1);
	}

	void recordRejected(long nowNanos) {
		decay(nowNanos);
		this.rejected++;
	}

	void recordFromOthers(long nowNanos) {
		decay(nowNanos);
		this.fromOthers++;
	}

	void decay(long nowNanos) {
		double factor = Math.exp(-Math.max(0, nowNanos - this.lastNanos) / (MEAN_SECONDS * NANOS_PER_SECOND));
		this.served *= factor;
		this.handedOver *= factor;
		this.rejected *= factor;
		this.fromOthers *= factor;
		this.lastNanos = nowNanos;
	}

	/**
	 * Returns the share of the callers' new requests that is handed to other VMs.
	 * @return 0 to 1
	 */
	double handedOverShare() {
		return this.handedOver / Math.max(1, this.served + this.handedOver + this.rejected);
	}

	double rejectedShare() {
		return this.rejected / Math.max(1, this.served + this.handedOver + this.rejected);
	}

	/**
	 * Returns the part of the requests served here that came from callers.
	 * @return 0 to 1, 1 without requests
	 */
	double callersPart() {
		double total = this.served + this.fromOthers;
		return (this.fromOthers <= 0) ? 1 : this.served / total;
	}

	double servedPerSecond() {
		return (this.served + this.fromOthers) / MEAN_SECONDS;
	}

}
