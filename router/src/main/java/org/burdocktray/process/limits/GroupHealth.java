package org.burdocktray.process.limits;

/**
 * The recent attempts and failures at one group of upstreams. Thread safety: safe from
 * any thread; it has its own lock.
 */
final class GroupHealth {

	private static final double WINDOW_NANOS = 5e9;

	private final DecayingRate attempts;

	private final DecayingRate failures;

	GroupHealth(long nowNanos) {
		this.attempts = new DecayingRate(WINDOW_NANOS, nowNanos);
		this.failures = new DecayingRate(WINDOW_NANOS, nowNanos);
	}

	synchronized void recordAttemptResult(boolean failed, long nowNanos) {
		this.attempts.add(1, nowNanos);
		if (failed) {
			this.failures.add(1, nowNanos);
		}
	}

	synchronized boolean isFailing(RetryBudgetParameters parameters, long nowNanos) {
		double attemptCount = this.attempts.count(nowNanos);
		return attemptCount >= parameters.minGroupAttempts()
				&& this.failures.count(nowNanos) >= parameters.groupFailureRatio() * attemptCount;
	}

}
