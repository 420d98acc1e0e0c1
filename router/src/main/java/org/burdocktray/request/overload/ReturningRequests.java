package org.burdocktray.request.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The requests that this VM has rejected and that may come again. Invariants: their
 * number is bounded, and they are forgotten after some seconds. Thread safety: none,
 * confined to one event loop.
 */
final class ReturningRequests {

	private static final int MAX_REQUESTS = 4_096;

	private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** Clocks and timers of callers may be early by this. */
	private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final Map<String, Rejection> rejections = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Rejection> eldest) {
			return size() > MAX_REQUESTS;
		}
	};

	/**
	 * Records that a request was rejected.
	 * @param requestId its id
	 * @param dueNanos the time from which on it may come again, by the monotonic clock
	 * @param nowNanos the current time of the monotonic clock
	 */
	void record(String requestId, long dueNanos, long nowNanos) {
		this.rejections.remove(requestId);
		this.rejections.put(requestId, new Rejection(dueNanos, nowNanos));
	}

	/**
	 * Returns what is known of a request that arrives.
	 * @param requestId its id
	 * @param nowNanos the current time of the monotonic clock
	 * @return whether it is new here, returns in time or too soon
	 */
	Kind kind(String requestId, long nowNanos) {
		Rejection known = this.rejections.get(requestId);
		if (known == null || nowNanos - known.rejectedNanos() > MAX_AGE_NANOS) {
			return Kind.NEW;
		}
		return (nowNanos - known.dueNanos() < -TOLERANCE_NANOS) ? Kind.EARLY : Kind.DUE;
	}

	/**
	 * How a request relates to earlier ones.
	 */
	enum Kind {

		/** The request was not rejected before, as far as this VM knows. */
		NEW,

		/** The request comes again before the time that its caller was told. */
		EARLY,

		/** The request comes again in time. */
		DUE

	}

	private record Rejection(long dueNanos, long rejectedNanos) {

	}

}
