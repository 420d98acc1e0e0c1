package org.burdocktray.process.limits;

/**
 * A budget that first attempts fill and retries consume. Invariant: over any period the
 * number of retries is at most the sum of the burst, the ratio times the number of first
 * attempts, and the floor rate times the length of the period. Thread safety: safe from
 * any thread; it has its own lock.
 */
final class RetryBudget {

	private final TokenBucket bucket;

	RetryBudget(RetryBudgetParameters parameters, long nowNanos) {
		this.bucket = new TokenBucket(parameters.floorPerSecond(), parameters.burst(), nowNanos);
	}

	/** Discards the saved retries. */
	synchronized void clear() {
		this.bucket.clear();
	}

	synchronized void recordFirstAttempt(RetryBudgetParameters parameters, long nowNanos) {
		this.bucket.resize(parameters.floorPerSecond(), parameters.burst(), nowNanos);
		this.bucket.refund(parameters.ratio());
	}

	synchronized boolean tryAcquire(long nowNanos) {
		if (this.bucket.waitNanos(1, nowNanos) > 0) {
			return false;
		}
		this.bucket.consume(1);
		return true;
	}

	synchronized void refund() {
		this.bucket.refund(1);
	}

}
