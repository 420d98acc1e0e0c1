package org.burdocktray.process.directory;

import java.util.concurrent.TimeUnit;

/**
 * Decides when this VM shares the load reports that it has gathered. All VMs of a data
 * centre share with each other, so the interval grows with their number: what one VM
 * sends and receives stays the same as the fleet grows. That an engine is silent is
 * shared as soon as in a small fleet. Thread safety: none, confined to one event loop.
 */
public final class ReportShareInterval {

	private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long NANOS_PER_VM = TimeUnit.MILLISECONDS.toNanos(25);

	/** Work that is due at the same time is not put off for being a little early. */
	private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private long lastNanos;

	/**
	 * Creates an interval that begins now.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public ReportShareInterval(long nowNanos) {
		this.lastNanos = nowNanos;
	}

	/**
	 * Returns whether the reports have to be shared now, and if so, begins the next
	 * interval.
	 * @param vmCount the number of VMs with which they are shared
	 * @param isUrgent whether an engine is silent
	 * @param nowNanos the current time of the monotonic clock
	 * @return true if they are due
	 */
	public boolean isDue(int vmCount, boolean isUrgent, long nowNanos) {
		long intervalNanos = isUrgent ? MIN_NANOS : Math.min(MAX_NANOS, Math.max(MIN_NANOS, vmCount * NANOS_PER_VM));
		if (nowNanos - this.lastNanos < intervalNanos - TOLERANCE_NANOS) {
			return false;
		}
		this.lastNanos = nowNanos;
		return true;
	}

}
