package org.burdocktray.request.forward;

import java.util.OptionalLong;

/**
 * Records when a request started and when the events of its response arrived. Thread
 * safety: none, confined to the request.
 */
public final class ResponseTiming {

	private final long startNanos;

	private OptionalLong firstNanos = OptionalLong.empty();

	private long lastNanos;

	private long longestPauseNanos;

	/**
	 * Creates the timing of a request without events.
	 * @param startNanos the start time of the request
	 */
	public ResponseTiming(long startNanos) {
		this.startNanos = startNanos;
	}

	/**
	 * Records the arrival of one or more events.
	 * @param nowNanos the current time
	 */
	public void recordEvents(long nowNanos) {
		if (this.firstNanos.isEmpty()) {
			this.firstNanos = OptionalLong.of(nowNanos);
		}
		else {
			this.longestPauseNanos = Math.max(this.longestPauseNanos, nowNanos - this.lastNanos);
		}
		this.lastNanos = nowNanos;
	}

	public long startNanos() {
		return this.startNanos;
	}

	/**
	 * Returns the time from the start to the first event.
	 * @return nanoseconds, empty before the first event
	 */
	public OptionalLong firstEventNanos() {
		return this.firstNanos.isPresent() ? OptionalLong.of(this.firstNanos.getAsLong() - this.startNanos)
				: OptionalLong.empty();
	}

	/**
	 * Returns the longest time between two consecutive arrivals.
	 * @return nanoseconds, 0 with fewer than two arrivals
	 */
	public long longestPauseNanos() {
		return this.longestPauseNanos;
	}

	/**
	 * Returns the time since the last events arrived.
	 * @param nowNanos the current time
	 * @return nanoseconds, empty before the first event
	 */
	public OptionalLong silentNanos(long nowNanos) {
		return this.firstNanos.isPresent() ? OptionalLong.of(nowNanos - this.lastNanos) : OptionalLong.empty();
	}

}
