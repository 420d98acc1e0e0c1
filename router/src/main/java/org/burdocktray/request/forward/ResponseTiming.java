package org.burdocktray.request.forward;

import java.util.OptionalLong;

/**
 * When a request began, and when the events of its answer came. Thread safety: none,
 * confined to the request.
 */
public final class ResponseTiming {

	private final long startNanos;

	private OptionalLong firstNanos = OptionalLong.empty();

	private long lastNanos;

	private long longestPauseNanos;

	/**
	 * Creates the timing of a request without events.
	 * @param startNanos when the request began
	 */
	public ResponseTiming(long startNanos) {
		this.startNanos = startNanos;
	}

	/**
	 * Notes that events came.
	 * @param nowNanos the time
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
	 * Returns the time to the first event.
	 * @return nanoseconds, empty when none came
	 */
	public OptionalLong firstEventNanos() {
		return this.firstNanos.isPresent() ? OptionalLong.of(this.firstNanos.getAsLong() - this.startNanos)
				: OptionalLong.empty();
	}

	/**
	 * Returns the longest time between two events.
	 * @return nanoseconds, 0 with fewer than two events
	 */
	public long longestPauseNanos() {
		return this.longestPauseNanos;
	}

}
