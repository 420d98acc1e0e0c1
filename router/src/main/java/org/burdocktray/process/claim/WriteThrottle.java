package org.burdocktray.process.claim;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of this VM's writes to one shard, so that each write contains many
 * claims. Conflicts with writes of other VMs increase the interval. A cycle is the reads
 * and the write that process the pending claims and outcomes together. Thread safety:
 * confined to its shard.
 */
final class WriteThrottle {

	private static final int MAX_BACKOFF_FACTOR = 8;

	private final long minIntervalNanos;

	private final long outcomeLingerNanos;

	private int backoffFactor = 1;

	private boolean concurrentWriteSeen;

	private boolean hasStarted;

	private long lastCycleNanos;

	WriteThrottle(ClaimParameters parameters) {
		this.minIntervalNanos = TimeUnit.MILLISECONDS.toNanos(parameters.minWriteIntervalMillis());
		this.outcomeLingerNanos = TimeUnit.MILLISECONDS.toNanos(parameters.outcomeLingerMillis());
	}

	void onCycleStarted(long nowNanos) {
		this.hasStarted = true;
		this.lastCycleNanos = nowNanos;
	}

	void onConflict() {
		this.concurrentWriteSeen = true;
		this.backoffFactor = Math.min(MAX_BACKOFF_FACTOR, this.backoffFactor * 2);
	}

	void onWriteApplied() {
		this.backoffFactor = Math.max(1, this.backoffFactor - 1);
	}

	/**
	 * Records a read of the object.
	 * @param changed whether another VM has written since the last known state
	 */
	void onObjectRead(boolean changed) {
		this.concurrentWriteSeen = changed;
	}

	/**
	 * Returns whether a write without a preceding read is likely to conflict.
	 * @return whether another VM has written recently
	 */
	boolean shouldReadFirst() {
		return this.concurrentWriteSeen;
	}

	long nextClaimCycleNanos(long nowNanos) {
		return (this.hasStarted) ? this.lastCycleNanos + this.minIntervalNanos * this.backoffFactor : nowNanos;
	}

	long nextOutcomeCycleNanos(PendingOutcome outcome, long nowNanos) {
		long lingerEndNanos = outcome.arrivedNanos() + this.outcomeLingerNanos;
		return Math.max(nextClaimCycleNanos(nowNanos), lingerEndNanos);
	}

}
