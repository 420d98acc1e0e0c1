package org.burdocktray.bench.route;

import org.burdocktray.version.bundle.Link;

/**
 * A simulated link that transfers one activation at a time at its rate. Thread safety:
 * none.
 */
final class LinkServer {

	/** The network within a data centre, which has no bandwidth limit. */
	static final LinkServer LOCAL = new LinkServer(Double.POSITIVE_INFINITY, 50_000);

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NANOS_PER_MICRO = 1000;

	private final double bytesPerSecond;

	private final long delayNanos;

	private double freeAtNanos;

	LinkServer(Link link) {
		this(link.bytesPerSecond(), link.oneWayMicros() * NANOS_PER_MICRO);
	}

	private LinkServer(double bytesPerSecond, long delayNanos) {
		this.bytesPerSecond = bytesPerSecond;
		this.delayNanos = delayNanos;
	}

	/**
	 * Queues a transfer behind the earlier ones.
	 * @param bytes the number of bytes; 0 for a message that needs no bandwidth
	 * @param nowNanos the current time
	 * @return the time of arrival in nanoseconds
	 */
	long transfer(long bytes, long nowNanos) {
		if (bytes == 0 || Double.isInfinite(this.bytesPerSecond)) {
			return nowNanos + this.delayNanos;
		}
		this.freeAtNanos = Math.max(this.freeAtNanos, nowNanos) + bytes / this.bytesPerSecond * NANOS_PER_SECOND;
		return Math.round(this.freeAtNanos) + this.delayNanos;
	}

}
