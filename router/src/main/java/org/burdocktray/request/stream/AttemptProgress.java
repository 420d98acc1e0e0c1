package org.burdocktray.request.stream;

import java.util.OptionalLong;

/**
 * The progress of the current attempt of one response: when it has stalled, and whether
 * its stages are being probed for that. Thread safety: confined to one thread at a time.
 */
final class AttemptProgress {

	private final StallTimeout stallTimeout;

	private final int maxProbesWithoutProgress;

	private long lastProgressNanos;

	private int probesWithoutProgress;

	private boolean probing;

	AttemptProgress(StreamTimeouts timeouts) {
		this.stallTimeout = new StallTimeout(timeouts.stallTimeoutNanos());
		this.maxProbesWithoutProgress = timeouts.maxProbesWithoutProgress();
	}

	void onAttemptStart(long nowNanos) {
		this.lastProgressNanos = nowNanos;
		this.probing = false;
		this.probesWithoutProgress = 0;
		this.stallTimeout.onAttemptStart();
	}

	/**
	 * Records a token.
	 * @param isFirst whether it is the first one of the attempt
	 * @param nowNanos the current time
	 */
	void onToken(boolean isFirst, long nowNanos) {
		this.stallTimeout.onToken(isFirst ? OptionalLong.empty() : OptionalLong.of(nowNanos - this.lastProgressNanos));
		this.lastProgressNanos = nowNanos;
		this.probesWithoutProgress = 0;
	}

	boolean isProbing() {
		return this.probing;
	}

	boolean isStalledAt(long nowNanos) {
		return nowNanos - this.lastProgressNanos >= this.stallTimeout.nanos();
	}

	void beginProbe() {
		this.probing = true;
	}

	void endProbe() {
		this.probing = false;
	}

	/**
	 * Records that a probe has found the attempt stalled.
	 * @param nowNanos the current time
	 * @return whether so many probes have passed without progress that the attempt is
	 * stuck, whatever its stages respond
	 */
	boolean recordStall(long nowNanos) {
		if (this.stallTimeout.isEarly(nowNanos - this.lastProgressNanos)) {
			this.stallTimeout.markEarlyProbeUsed();
			return false;
		}
		this.probesWithoutProgress++;
		this.lastProgressNanos = nowNanos;
		return this.probesWithoutProgress >= this.maxProbesWithoutProgress;
	}

}
