package org.burdocktray.request.overload;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Follows one admitted request and tells whether the fleet served it in time. Invariants:
 * the outcome is reported at most once; a request that ends without a first event before
 * its target, such as one whose caller has left, has no outcome. Thread safety: none,
 * confined to one event loop.
 */
public final class RequestTracker {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final int FIRST_ERROR = 400;

	/** The share of the target after which a request without free capacity is late. */
	private static final double BLOCKED_SHARE = 0.125;

	/**
	 * The number of rejections by engines that count as late. One may come from an engine
	 * that leaves or holds other layers now.
	 */
	private static final int LATE_REJECTIONS = 2;

	private final OverloadControl control;

	private final Arrival arrival;

	private final long startNanos;

	private final OptionalDouble expectedMillis;

	/** The expected time to the first event without the queue at the arrival. */
	private final double unqueuedMillis;

	private int rejections;

	/** Whether the request has an outcome, or has ended without one. */
	private boolean hasOutcome;

	private boolean hasBeenSent;

	RequestTracker(OverloadControl control, Arrival arrival, OptionalDouble expectedMillis, double unqueuedMillis,
			long startNanos) {
		this.control = control;
		this.arrival = arrival;
		this.expectedMillis = expectedMillis;
		this.unqueuedMillis = unqueuedMillis;
		this.startNanos = startNanos;
	}

	/**
	 * Records that no replica can take the request now.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordBlocked(long nowNanos) {
		if (nowNanos - this.startNanos >= BLOCKED_SHARE * targetNanos()) {
			setOutcome(false, nowNanos);
		}
	}

	/**
	 * Records that a replica has rejected the request.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordReplicaRejection(long nowNanos) {
		this.rejections++;
		if (this.rejections >= LATE_REJECTIONS) {
			setOutcome(false, nowNanos);
		}
	}

	/**
	 * Records that the request is given up because no replica takes it.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordGivenUp(long nowNanos) {
		setOutcome(false, nowNanos);
		this.control.recordRejectionAfterWait(this.arrival);
	}

	/**
	 * Records the first event of a stream, or the response of a plain service.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordFirstEvent(long nowNanos) {
		double elapsedMillis = (nowNanos - this.startNanos) / NANOS_PER_MILLI;
		if (!this.hasOutcome && this.rejections == 0) {
			this.control.recordResponseTime(this.arrival, elapsedMillis, this.expectedMillis);
		}
		this.control.recordBegin(this.arrival, nowNanos);
		setOutcome(nowNanos - this.startNanos <= targetNanos(), nowNanos);
	}

	/** Records that the request is sent to a replica. */
	public void recordSend() {
		this.hasBeenSent = true;
	}

	/**
	 * Records the complete response of a plain service. One with an error shows neither
	 * how long the service takes nor whether it has capacity.
	 * @param statusCode its status
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordResponse(int statusCode, long nowNanos) {
		if (statusCode < FIRST_ERROR) {
			recordFirstEvent(nowNanos);
		}
		else {
			this.hasOutcome = true;
		}
	}

	/**
	 * Records the end of a complete stream.
	 * @param tokens the length of the response
	 */
	public void recordStreamEnd(int tokens) {
		this.control.recordLength(this.arrival, tokens);
	}

	/**
	 * Notices when the target has passed without a first event.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void check(long nowNanos) {
		if (nowNanos - this.startNanos > targetNanos()) {
			setOutcome(false, nowNanos);
		}
	}

	/**
	 * Returns how long the request may wait for capacity from its arrival on.
	 * @return the time after which it can no longer be served in time; empty while
	 * requests are not rejected for load, for interrupted streams and after the first
	 * send, when the work of an engine would be lost
	 */
	public OptionalLong maxWaitNanos() {
		if (this.hasBeenSent || this.arrival.isInterrupted()
				|| !this.control.isWaitLimited(this.arrival.service().name())) {
			return OptionalLong.empty();
		}
		double neededNanos = this.unqueuedMillis * NANOS_PER_MILLI;
		return OptionalLong.of((long) Math.max(BLOCKED_SHARE * targetNanos(), targetNanos() - neededNanos));
	}

	/**
	 * Returns when the caller of the request may come again if it is given up now.
	 * @param nowNanos the current time of the monotonic clock
	 * @return seconds, empty if another try would be in vain; 0 while requests are not
	 * rejected for load
	 */
	public OptionalDouble retryAfterSeconds(long nowNanos) {
		if (!this.control.isWaitLimited(this.arrival.service().name())) {
			return OptionalDouble.of(0);
		}
		return this.control.retryAfterSeconds(this.arrival, this.startNanos, nowNanos);
	}

	private double targetNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.arrival.route().targetLatencyMillis());
	}

	private void setOutcome(boolean isOnTime, long nowNanos) {
		if (!this.hasOutcome) {
			this.hasOutcome = true;
			if (!isOnTime && this.control.isLateByLoss(this.arrival.service().name(), this.startNanos)) {
				return;
			}
			this.control.recordOutcome(this.arrival, isOnTime, nowNanos);
		}
	}

}
