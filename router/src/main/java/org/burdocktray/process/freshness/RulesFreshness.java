package org.burdocktray.process.freshness;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Bounds the age of the rules in force. The rules are confirmed by linearizable responses
 * of the store. A confirmation counts from the time when its call was sent, because the
 * response may show the state of that time. The age is the larger one of the ages by the
 * monotonic clock and by the time of day: the monotonic clock stops while a VM is
 * suspended, and a time of day that jumps forward only makes the bound stricter. Thread
 * safety: lock-free.
 */
public final class RulesFreshness {

	/** Time for a late call to be abandoned and for the next one to be answered. */
	private static final long MAX_CALL_DELAY_MILLIS = 1_000;

	/**
	 * Share of the bound for which keys are accepted after the store becomes unavailable.
	 */
	private static final double MIN_FRESH_SHARE = 0.7;

	private final long maxAgeMillis;

	private final AtomicReference<Timestamp> latest = new AtomicReference<>();

	/**
	 * Creates the bound without any confirmation.
	 * @param maxAgeMillis the maximum age of the rules at which keys are accepted
	 */
	public RulesFreshness(long maxAgeMillis) {
		this.maxAgeMillis = maxAgeMillis;
	}

	/**
	 * Returns the maximum wait of a long-poll call for changes. A response is as old as
	 * its wait when the next call starts, so two waits must fit into the bound, and the
	 * second call may be late.
	 * @return milliseconds, at least 1
	 */
	public long maxWaitMillis() {
		return Math.max(1, (this.maxAgeMillis - MAX_CALL_DELAY_MILLIS) / 2);
	}

	/**
	 * Returns the minimum wait of a long-poll call for changes. Shorter waits would keep
	 * the rules fresh for longer than it takes to detect that the store is unavailable.
	 * @return milliseconds, at most the maximum wait
	 */
	public long minWaitMillis() {
		return Math.min(maxWaitMillis(), Math.max(1, (long) ((1 - MIN_FRESH_SHARE) * this.maxAgeMillis / 2)));
	}

	/**
	 * Records a response of the store. Responses to earlier calls than the latest one are
	 * ignored.
	 * @param sentAt the time when its call was sent
	 */
	public void recordConfirmation(Timestamp sentAt) {
		this.latest.accumulateAndGet(sentAt,
				(current, next) -> (current == null || next.isAfter(current)) ? next : current);
	}

	/**
	 * Returns whether the rules are fresh enough to accept keys.
	 * @param now the current time
	 * @return true if their age is within the bound
	 */
	public boolean isFresh(Timestamp now) {
		return ageMillis(now) <= this.maxAgeMillis;
	}

	/**
	 * Returns the maximum age that the rules can have.
	 * @param now the current time
	 * @return milliseconds, {@link Long#MAX_VALUE} before the first confirmation
	 */
	public long ageMillis(Timestamp now) {
		Timestamp current = this.latest.get();
		return (current != null) ? now.millisSince(current) : Long.MAX_VALUE;
	}

	/**
	 * A point in time by both clocks. Thread safety: immutable.
	 *
	 * @param monotonicNanos the reading of {@link System#nanoTime()}
	 * @param epochMillis the time of day in milliseconds since 1970
	 */
	public record Timestamp(long monotonicNanos, long epochMillis) {

		private static final long NANOS_PER_MILLI = 1_000_000;

		/**
		 * Returns the current time.
		 * @return the readings of both clocks
		 */
		public static Timestamp now() {
			return new Timestamp(System.nanoTime(), System.currentTimeMillis());
		}

		long millisSince(Timestamp earlier) {
			long monotonicMillis = (this.monotonicNanos - earlier.monotonicNanos) / NANOS_PER_MILLI;
			return Math.max(monotonicMillis, this.epochMillis - earlier.epochMillis);
		}

		boolean isAfter(Timestamp other) {
			return this.monotonicNanos - other.monotonicNanos > 0;
		}

	}

}
