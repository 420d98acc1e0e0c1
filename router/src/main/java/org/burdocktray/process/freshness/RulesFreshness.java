package org.burdocktray.process.freshness;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Bounds the age of the rules in force. The rules are confirmed by linearizable responses
 * of the store. A confirmation counts from the time when its call was sent, because the
 * response may show the state of that time; if the store has waited for a change and
 * there was none, from the end of the wait, but for the time by which a watch may be
 * late. The age is the larger one of the ages by the monotonic clock and by the time of
 * day: the monotonic clock stops while a VM is suspended, and a time of day that jumps
 * forward only makes the bound stricter. Thread safety: lock-free.
 */
public final class RulesFreshness {

	/** Time for a late call to be abandoned and for the next one to be answered. */
	private static final long MAX_CALL_DELAY_MILLIS = 1_000;

	/** A watch may hear of changes late, before the store drops its history. */
	private static final long MAX_WATCH_DELAY_MILLIS = 1_000;

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
	 * Returns the maximum wait of a long-poll call for changes. A response with changes
	 * is as old as its wait when the next call starts, so two waits must fit into the
	 * bound, and the second call may be late.
	 * @return milliseconds, at least 1
	 */
	public long maxWaitMillis() {
		return Math.max(1, (this.maxAgeMillis - MAX_CALL_DELAY_MILLIS) / 2);
	}

	/**
	 * Returns the wait of a VM that watches for others. The confirmation of another VM is
	 * older by one wait, since its request was sent one wait before the answer; so three
	 * waits take the time of two waits of a VM that watches for itself.
	 * @return milliseconds, at least 1
	 */
	public long sharedWaitMillis() {
		return Math.max(1, 2 * minWaitMillis() / 3);
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
	 * Records a response of the store. Responses that show an earlier state than the
	 * latest one are ignored.
	 * @param confirmedAt the time whose state the response shows at least
	 */
	public void recordConfirmation(Timestamp confirmedAt) {
		this.latest.accumulateAndGet(confirmedAt,
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

		/**
		 * Returns which time a response without changes confirms, if this is the time at
		 * which its call was sent.
		 * @param waitMillis how long the store was to wait for a change
		 * @param receivedAt when the response was received
		 * @return at least this time
		 */
		public Timestamp confirmedByWait(long waitMillis, Timestamp receivedAt) {
			// A response that comes early shows less.
			long waitedMillis = Math.min(waitMillis, receivedAt.monotonicMillisSince(this));
			long confirmedMillis = Math.max(0, waitedMillis - MAX_WATCH_DELAY_MILLIS);
			return new Timestamp(this.monotonicNanos + confirmedMillis * NANOS_PER_MILLI,
					this.epochMillis + confirmedMillis);
		}

		/**
		 * Returns an earlier time.
		 * @param millis how much earlier; later if negative
		 * @return the time by both clocks
		 */
		public Timestamp minusMillis(long millis) {
			return new Timestamp(this.monotonicNanos - millis * NANOS_PER_MILLI, this.epochMillis - millis);
		}

		private long monotonicMillisSince(Timestamp earlier) {
			return (this.monotonicNanos - earlier.monotonicNanos) / NANOS_PER_MILLI;
		}

		/**
		 * Returns the time that has passed at most.
		 * @param earlier an earlier time
		 * @return milliseconds, by the clock that shows more
		 */
		public long millisSince(Timestamp earlier) {
			return Math.max(monotonicMillisSince(earlier), this.epochMillis - earlier.epochMillis);
		}

		/**
		 * Returns the time that has passed at least.
		 * @param earlier an earlier time
		 * @return milliseconds, by the clock that shows less
		 */
		public long minMillisSince(Timestamp earlier) {
			return Math.min(monotonicMillisSince(earlier), this.epochMillis - earlier.epochMillis);
		}

		/**
		 * Returns whether this is later, by the monotonic clock.
		 * @param other another time
		 * @return whether it is later
		 */
		public boolean isAfter(Timestamp other) {
			return this.monotonicNanos - other.monotonicNanos > 0;
		}

	}

}
