package org.burdocktray.request.stream;

import java.util.OptionalLong;

/**
 * The time without a token after which the stages of an attempt are probed. Once tokens
 * have arrived, one early probe is sent in each pause: a pause of many typical gaps
 * indicates a failure rather than load. Invariant: the timeout is between a fifth of the
 * configured timeout and the configured timeout. Thread safety: confined to one session.
 */
final class StallTimeout {

	private static final int EARLY_TIMEOUT_DIVISOR = 5;

	private static final int EARLY_PROBE_GAPS = 10;

	private static final int GAP_SMOOTHING_DIVISOR = 8;

	private final long configuredNanos;

	private OptionalLong typicalGapNanos = OptionalLong.empty();

	private boolean earlyProbeUsed;

	StallTimeout(long configuredNanos) {
		this.configuredNanos = configuredNanos;
	}

	long nanos() {
		if (this.earlyProbeUsed || this.typicalGapNanos.isEmpty()) {
			return this.configuredNanos;
		}
		long earlyNanos = Math.max(this.configuredNanos / EARLY_TIMEOUT_DIVISOR,
				EARLY_PROBE_GAPS * this.typicalGapNanos.getAsLong());
		return Math.min(this.configuredNanos, earlyNanos);
	}

	/**
	 * Returns whether a probe is an early one.
	 * @param stallNanos the time since the last progress
	 * @return true if the configured timeout has not elapsed
	 */
	boolean isEarly(long stallNanos) {
		return stallNanos < this.configuredNanos;
	}

	void markEarlyProbeUsed() {
		this.earlyProbeUsed = true;
	}

	void onToken(OptionalLong gapNanos) {
		this.earlyProbeUsed = false;
		gapNanos.ifPresent(this::updateTypicalGap);
	}

	void onAttemptStart() {
		this.earlyProbeUsed = false;
		this.typicalGapNanos = OptionalLong.empty();
	}

	private void updateTypicalGap(long gapNanos) {
		long previousNanos = this.typicalGapNanos.orElse(gapNanos);
		this.typicalGapNanos = OptionalLong.of(previousNanos + (gapNanos - previousNanos) / GAP_SMOOTHING_DIVISOR);
	}

}
