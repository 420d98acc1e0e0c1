package org.burdocktray.process.limits;

/**
 * A budget that first attempts fill and retries use. Invariant: over any time the retries
 * are at most the burst, the ratio times the first attempts and the floor times that
 * time. Thread safety: safe from any thread; it has its own lock.
 */
final class RetryBudget {

	private final TokenBucket bucket;

	RetryBudget(RetryBudgetParameters parameters, long nowNanos) {
		this.bucket = new TokenBucket(parameters.floorPerSecond(), parameters.burst(), nowNanos);
	}

	/** Drops what is saved up. */
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
