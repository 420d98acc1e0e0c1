package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.burdocktray.request.overload.RequestTracker;
import org.burdocktray.version.rules.RouteRule;

/**
 * The wait of one request for a replica that can take it. Decides how long a request may
 * wait, which depends on its route and on whether the caller has part of the response.
 * Invariant: a request is counted as waiting for a limited replica until its wait ends.
 * Thread safety: none, confined to the request.
 */
final class RequestWait {

	/**
	 * The share of the caller's timeout for which a new request waits for free capacity.
	 */
	private static final double INITIAL_SHARE = 0.8;

	/**
	 * The share of the caller's timeout for which an interrupted stream waits for free
	 * capacity.
	 */
	private static final double RESUME_SHARE = 0.85;

	/**
	 * The share of the route's target latency for which a new request waits for a replica
	 * that limits its requests.
	 */
	private static final double LIMIT_SHARE = 0.5;

	private static final long MAX_LIMIT_WAIT_MILLIS = 250;

	private final RouteRule route;

	private final LimitedReplicas limits;

	private final Optional<RequestTracker> tracker;

	private boolean waiting;

	private boolean waitingForRoom;

	/** Whether the request has waited for a replica that limits its requests. */
	private boolean hasWaitedForRoom;

	RequestWait(RouteRule route, LimitedReplicas limits, Optional<RequestTracker> tracker) {
		this.tracker = tracker;
		this.route = route;
		this.limits = limits;
	}

	boolean isOngoing() {
		return this.waiting;
	}

	void begin() {
		this.waiting = true;
	}

	/**
	 * Begins to wait for a replica that limits its requests, if it has room soon enough.
	 * @param waitedNanos how long the request has waited already
	 * @param nanosUntilRoom the time until a replica takes it
	 * @return whether the request waits
	 */
	boolean beginForRoom(long waitedNanos, long nanosUntilRoom) {
		long expectedNanos = this.hasWaitedForRoom ? waitedNanos : waitedNanos + nanosUntilRoom;
		double maxMillis = Math.min(MAX_LIMIT_WAIT_MILLIS, LIMIT_SHARE * this.route.targetLatencyMillis());
		if (expectedNanos > TimeUnit.MILLISECONDS.toNanos(1) * maxMillis) {
			return false;
		}
		this.waiting = true;
		this.waitingForRoom = true;
		this.hasWaitedForRoom = true;
		this.limits.addWaiting();
		return true;
	}

	void end() {
		this.waiting = false;
		if (this.waitingForRoom) {
			this.waitingForRoom = false;
			this.limits.removeWaiting();
		}
	}

	/**
	 * Returns whether the request may wait for free capacity any longer. While load is
	 * shed, this depends on whether it can still be served in time.
	 * @param isStarted whether the caller has part of the response
	 * @param waitedNanos the time since the request came, or since the last part
	 * @return false if its caller should know now
	 */
	boolean mayWaitForCapacity(boolean isStarted, long waitedNanos) {
		OptionalLong loadLimit = isStarted ? OptionalLong.empty()
				: this.tracker.map(RequestTracker::maxWaitNanos).orElse(OptionalLong.empty());
		return mayGoOn(isStarted, waitedNanos) && (loadLimit.isEmpty() || waitedNanos < loadLimit.getAsLong());
	}

	/**
	 * Returns whether the request may wait any longer, whatever it waits for.
	 * @param isStarted whether the caller has part of the response
	 * @param waitedNanos the time since the request came, or since the last part
	 * @return false if its caller should know now
	 */
	boolean mayGoOn(boolean isStarted, long waitedNanos) {
		double share = isStarted ? RESUME_SHARE : INITIAL_SHARE;
		double maxNanos = share * TimeUnit.MILLISECONDS.toNanos(this.route.callerTimeoutMillis());
		return waitedNanos < maxNanos;
	}

}
