package org.burdocktray.request.forward;

import java.util.Comparator;

/**
 * A request that waits for room, as far as its turn depends on it. Thread safety:
 * immutable.
 *
 * @param priority its rank, the lowest first
 * @param isResponseStarted whether its caller has had a part of the answer
 * @param startNanos when it came
 * @param targetLatencyNanos the time from then on in which its first event is on time
 */
public record WaitingRequest(int priority, boolean isResponseStarted, long startNanos, long targetLatencyNanos) {

	/** The part of the target after which an engine can hardly answer on time. */
	private static final double LATEST_SEND_SHARE = 0.8;

	/**
	 * Returns the order in which waiting requests get room. Within a rank, answers that
	 * have begun come first, then requests that can still be answered on time, then those
	 * that are late already; each the oldest first. In order of age alone, every request
	 * would be late while more is asked than there is room for.
	 * @param nowNanos the time
	 * @return the order
	 */
	public static Comparator<WaitingRequest> order(long nowNanos) {
		return Comparator.comparingInt(WaitingRequest::priority)
			.thenComparingInt((request) -> request.urgency(nowNanos))
			.thenComparingLong(WaitingRequest::startNanos);
	}

	private int urgency(long nowNanos) {
		if (this.isResponseStarted) {
			return 0;
		}
		return (nowNanos - this.startNanos <= LATEST_SEND_SHARE * this.targetLatencyNanos) ? 1 : 2;
	}

}
