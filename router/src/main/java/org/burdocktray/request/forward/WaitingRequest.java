package org.burdocktray.request.forward;

import java.util.Comparator;

/**
 * The properties of a request that determine its position among the requests that wait
 * for capacity. Thread safety: immutable.
 *
 * @param priority the priority class; lower values go first
 * @param isResponseStarted whether the caller has received a part of the response, also
 * before a resumed request
 * @param startNanos when the request arrived
 * @param targetLatencyNanos the target for the time from the arrival to the first event
 */
public record WaitingRequest(int priority, boolean isResponseStarted, long startNanos, long targetLatencyNanos) {

	/**
	 * The fraction of the target after which an engine is unlikely to respond on time.
	 */
	private static final double LATEST_SEND_FRACTION = 0.8;

	/**
	 * Returns the order in which waiting requests get capacity. Within a priority class,
	 * responses that have started come first, then requests that can still meet the
	 * target, then those that are already late; the oldest first in each group. Ordered
	 * by age alone, every request would be late while the demand exceeds the capacity.
	 * @param nowNanos the current time
	 * @return a comparator that sorts the next request to the front
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
		return (nowNanos - this.startNanos <= LATEST_SEND_FRACTION * this.targetLatencyNanos) ? 1 : 2;
	}

}
