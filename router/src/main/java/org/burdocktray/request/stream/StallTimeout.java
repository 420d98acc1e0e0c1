package org.burdocktray.request.stream;

import java.util.OptionalLong;

/**
 * How long an attempt may be silent before its stages are probed. Once tokens flow, one
 * probe goes out early: a pause of many usual gaps is more likely a failure than load.
 * Invariant: the bound is never above the configured one, and never below a fifth of it.
 * Thread safety: confined to one session.
 */
final class StallTimeout {

	private static final int EARLIEST_PART = 5;

	private static final int EARLY_GAPS = 10;

	private static final int GAP_SMOOTHING = 8;

	private final long configuredNanos;

	private OptionalLong usualGapNanos = OptionalLong.empty();

	private boolean earlyProbeSpent;

	StallTimeout(long configuredNanos) {
		this.configuredNanos = configuredNanos;
	}

	long nanos() {
		if (this.earlyProbeSpent || this.usualGapNanos.isEmpty()) {
			return this.configuredNanos;
		}
		long earlyNanos = Math.max(this.configuredNanos / EARLIEST_PART, EARLY_GAPS * this.usualGapNanos.getAsLong());
		return Math.min(this.configuredNanos, earlyNanos);
	}

	/**
	 * Whether a probe after a silence is an early one.
	 * @param silenceNanos the length of the silence
	 * @return true when the configured bound is not reached
	 */
	boolean isEarly(long silenceNanos) {
		return silenceNanos < this.configuredNanos;
	}

	void markEarlyProbeUsed() {
		this.earlyProbeSpent = true;
	}

	void onToken(OptionalLong gapNanos) {
		this.earlyProbeSpent = false;
		gapNanos.ifPresent(this::noteGap);
	}

	void onAttemptStart() {
		this.earlyProbeSpent = false;
		this.usualGapNanos = OptionalLong.empty();
	}

	private void noteGap(long gapNanos) {
		long usual = this.usualGapNanos.orElse(gapNanos);
		this.usualGapNanos = OptionalLong.of(usual + (gapNanos - usual) / GAP_SMOOTHING);
	}

}
