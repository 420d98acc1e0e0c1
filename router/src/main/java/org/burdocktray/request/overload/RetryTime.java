package org.burdocktray.request.overload;

import java.util.OptionalDouble;

/**
 * Computes when the caller of a rejected request may come again. More urgent requests,
 * those of which a large share is admitted and those that were rejected before come
 * first; the returns are spread over the time in which callers follow the header.
 * Invariant: the time is at most a third of what the caller has left. Thread safety:
 * stateless.
 */
final class RetryTime {

	/** Callers that are asked to wait longer do not. */
	private static final double MAX_SHARE_OF_REMAINING = 1.0 / 3;

	private static final double REPEATED_FACTOR = 0.5;

	/** With a lower share, a second request would be rejected as well. */
	private static final double MIN_USEFUL_SHARE = 0.1;

	private static final double MILLIS_PER_SECOND = 1_000;

	private RetryTime() {
	}

	/**
	 * Computes the time.
	 * @param rejected the rejected request
	 * @param admittedShare the share of its priority that is admitted
	 * @param isEasing whether the demand is falling
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return seconds, empty if another try would be in vain
	 */
	static OptionalDouble seconds(RejectedRequest rejected, double admittedShare, boolean isEasing, double draw) {
		double maxMillis = MAX_SHARE_OF_REMAINING * rejected.remainingMillis();
		boolean isInVain = (admittedShare < MIN_USEFUL_SHARE && !isEasing) || maxMillis < 1;
		if (isInVain) {
			return OptionalDouble.empty();
		}
		double latest = maxMillis * (rejected.rank() + 1) / rejected.priorityCount();
		double earliest = latest * (1 - admittedShare) / 2;
		double millis = earliest + draw * (latest - earliest);
		return OptionalDouble.of((rejected.isRepeated() ? REPEATED_FACTOR * millis : millis) / MILLIS_PER_SECOND);
	}

	/**
	 * A rejected request. Thread safety: immutable.
	 *
	 * @param remainingMillis how long its caller waits
	 * @param rank the number of more urgent priorities of its service
	 * @param priorityCount the number of priorities of its service, above the rank
	 * @param isRepeated whether it was rejected before
	 */
	record RejectedRequest(long remainingMillis, int rank, int priorityCount, boolean isRepeated) {

	}

}
