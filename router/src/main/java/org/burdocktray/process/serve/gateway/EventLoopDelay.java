package org.burdocktray.process.serve.gateway;

import java.util.concurrent.TimeUnit;

/**
 * How late the event loop is, by its periodic work. A loop that was held up reads old
 * requests, whose callers may have left: the closes of their connections stand behind the
 * requests and are read only in the next pass of the loop. Thread safety: none, confined
 * to one event loop.
 */
final class EventLoopDelay {

	/** A delay that a caller's timeout could fall into. */
	private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** How long a loop that was late still reads what had come meanwhile. */
	private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final long intervalNanos;

	private long lastTickNanos;

	private long catchingUpUntilNanos;

	/**
	 * Creates the delay of a loop that is on time.
	 * @param intervalNanos the interval of its periodic work
	 * @param nowNanos the current time of the monotonic clock
	 */
	EventLoopDelay(long intervalNanos, long nowNanos) {
		this.intervalNanos = intervalNanos;
		this.lastTickNanos = nowNanos;
		this.catchingUpUntilNanos = nowNanos;
	}

	/**
	 * Records that the periodic work runs.
	 * @param nowNanos the current time of the monotonic clock
	 * @return how late it is, negative if it is early
	 */
	long recordTick(long nowNanos) {
		long delayNanos = delayNanos(nowNanos);
		if (delayNanos > LATE_NANOS) {
			this.catchingUpUntilNanos = nowNanos + CATCH_UP_NANOS;
		}
		this.lastTickNanos = nowNanos;
		return delayNanos;
	}

	/**
	 * Returns whether what is read now may have come long ago.
	 * @param nowNanos the current time of the monotonic clock
	 * @return true while the periodic work is overdue, and for a while after
	 */
	boolean isLate(long nowNanos) {
		return delayNanos(nowNanos) > LATE_NANOS || nowNanos - this.catchingUpUntilNanos < 0;
	}

	private long delayNanos(long nowNanos) {
		return nowNanos - this.lastTickNanos - this.intervalNanos;
	}

}
