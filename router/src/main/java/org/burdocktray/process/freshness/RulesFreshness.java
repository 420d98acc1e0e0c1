package org.burdocktray.process.freshness;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Bounds the age of the rules in force. Evidence is a linearizable answer of the store;
 * it counts from when the call was sent, since what it shows may have been true only
 * then. The age is the larger of what the monotonic clock and the time of day say: a
 * suspended VM's monotonic clock stands still, and a time of day that jumps forward only
 * makes the bound stricter. Thread safety: lock-free.
 */
public final class RulesFreshness {

	/** How late a call may be given up, and how long until the next one is answered. */
	private static final long OVERDUE_MILLIS = 1_000;

	/** The part of the bound for which keys are still accepted once the store is lost. */
	private static final double LOST_SHARE = 0.7;

	private final long maxAgeMillis;

	private final AtomicReference<Timestamp> newest = new AtomicReference<>();

	/**
	 * Creates the bound without any evidence.
	 * @param maxAgeMillis the highest age at which keys are still accepted
	 */
	public RulesFreshness(long maxAgeMillis) {
		this.maxAgeMillis = maxAgeMillis;
	}

	/**
	 * Returns how long a call for changes may wait. The answer to one wait is as old as
	 * that wait when the next begins, so two waits must fit into the bound, and the
	 * second one may be overdue.
	 * @return milliseconds, at least 1
	 */
	public long maxWaitMillis() {
		return Math.max(1, (this.maxAgeMillis - OVERDUE_MILLIS) / 2);
	}

	/**
	 * Returns how long a call for changes waits at least. Shorter waits would keep the
	 * rules fresh for longer than it takes to notice that the store is lost.
	 * @return milliseconds, at most the longest wait
	 */
	public long minWaitMillis() {
		return Math.min(maxWaitMillis(), Math.max(1, (long) ((1 - LOST_SHARE) * this.maxAgeMillis / 2)));
	}

	/**
	 * Takes in an answer of the store.
	 * @param sent when its call was sent
	 */
	public void recordConfirmation(Timestamp sent) {
		this.newest.accumulateAndGet(sent, (held, next) -> (held == null || next.isAfter(held)) ? next : held);
	}

	/**
	 * Tells whether the rules are fresh enough to accept keys.
	 * @param now the time
	 * @return whether their age is within the bound
	 */
	public boolean isFresh(Timestamp now) {
		return ageMillis(now) <= this.maxAgeMillis;
	}

	/**
	 * Returns the highest age that the rules can have.
	 * @param now the time
	 * @return milliseconds, {@link Long#MAX_VALUE} before the first evidence
	 */
	public long ageMillis(Timestamp now) {
		Timestamp held = this.newest.get();
		return (held != null) ? now.millisSince(held) : Long.MAX_VALUE;
	}

	/**
	 * A moment by both clocks. Thread safety: immutable.
	 *
	 * @param monotonicNanos the monotonic clock
	 * @param epochMillis the time of day
	 */
	public record Timestamp(long monotonicNanos, long epochMillis) {

		private static final long NANOS_PER_MILLI = 1_000_000;

		/**
		 * Returns the present moment.
		 * @return now
		 */
		public static Timestamp now() {
			return new Timestamp(System.nanoTime(), System.currentTimeMillis());
		}

		long millisSince(Timestamp earlier) {
			long monotonic = (this.monotonicNanos - earlier.monotonicNanos) / NANOS_PER_MILLI;
			return Math.max(monotonic, this.epochMillis - earlier.epochMillis);
		}

		boolean isAfter(Timestamp other) {
			return this.monotonicNanos - other.monotonicNanos > 0;
		}

	}

}
