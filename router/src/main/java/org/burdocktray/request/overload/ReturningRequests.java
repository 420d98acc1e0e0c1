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

	private final Map<Key, Rejection> rejections = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Rejection> eldest) {
			return size() > MAX_REQUESTS;
		}
	};

	/**
	 * Records that a request was rejected.
	 * @param organisation its organisation; ids of different ones may be equal
	 * @param requestId its id
	 * @param dueNanos the time from which on it may come again, by the monotonic clock
	 * @param nowNanos the current time of the monotonic clock
	 */
	void record(String organisation, String requestId, long dueNanos, long nowNanos) {
		Key key = new Key(organisation, requestId);
		this.rejections.remove(key);
		this.rejections.put(key, new Rejection(dueNanos, nowNanos));
	}

	/**
	 * Records that a request was admitted, so that its id gives no advantage again.
	 * @param organisation its organisation
	 * @param requestId its id
	 */
	void remove(String organisation, String requestId) {
		this.rejections.remove(new Key(organisation, requestId));
	}

	/**
	 * Returns what is known of a request that arrives.
	 * @param organisation its organisation
	 * @param requestId its id
	 * @param nowNanos the current time of the monotonic clock
	 * @return whether it is new here, returns in time or too soon
	 */
	Kind kind(String organisation, String requestId, long nowNanos) {
		Rejection known = this.rejections.get(new Key(organisation, requestId));
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

	private record Key(String organisation, String requestId) {

	}

	private record Rejection(long dueNanos, long rejectedNanos) {

	}

}
