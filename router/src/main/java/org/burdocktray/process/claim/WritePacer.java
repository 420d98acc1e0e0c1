package org.burdocktray.process.claim;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of this VM's writes to one shard, so that each write contains many
 * claims. Conflicts with writes of other VMs increase the interval. A cycle is the reads
 * and the write that process the pending claims and outcomes together. Thread safety: confined to its shard.
 */
final class WritePacer {

	private static final int MAX_CONTENTION = 8;

	private final long minIntervalNanos;

	private final long outcomeLingerNanos;

	private int contention = 1;

	private boolean othersWrite;

	private boolean started;

	private long lastTurnNanos;

	WritePacer(ClaimParameters parameters) {
		this.minIntervalNanos = TimeUnit.MILLISECONDS.toNanos(parameters.minWriteIntervalMillis());
		this.outcomeLingerNanos = TimeUnit.MILLISECONDS.toNanos(parameters.outcomeLingerMillis());
	}

	void turnStarted(long nowNanos) {
		this.started = true;
		this.lastTurnNanos = nowNanos;
	}

	void conflicted() {
		this.othersWrite = true;
		this.contention = Math.min(MAX_CONTENTION, this.contention * 2);
	}

	void applied() {
		this.contention = Math.max(1, this.contention - 1);
	}

	/**
	 * Records a read of the object.
	 * @param changed whether another VM has written since the last known state
	 */
	void read(boolean changed) {
		this.othersWrite = changed;
	}

	/**
	 * Returns whether a write without a preceding read is likely to conflict.
	 * @return whether another VM has written recently
	 */
	boolean shouldReadFirst() {
		return this.othersWrite;
	}

	long nextClaimTurnNanos(long nowNanos) {
		return (this.started) ? this.lastTurnNanos + this.minIntervalNanos * this.contention : nowNanos;
	}

	long nextRecordTurnNanos(PendingRecord outcome, long nowNanos) {
		long lingerEndNanos = outcome.arrivedNanos() + this.outcomeLingerNanos;
		return Math.max(nextClaimTurnNanos(nowNanos), lingerEndNanos);
	}

}
