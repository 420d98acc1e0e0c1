package org.burdocktray.process.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of all VMs at a service, which are all attempts after the first of
 * each request. Each VM may send the ratio of the first attempts that it has sent itself,
 * plus an equal share of the additional retries of the fleet. A process starts without an
 * allowance, so that restarts do not renew it. Invariant: within any window this VM sends
 * at most its share. Thread safety: not thread-safe, confined to one event loop.
 */
public final class FleetRetryBudget {

	/**
	 * The fraction of the limit that may be used. The margin covers requests whose first
	 * attempt is counted late.
	 */
	private static final double SAFETY_FACTOR = 0.8;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double ratio;

	private final double fleetExtra;

	private final long windowNanos;

	private final long startNanos;

	private final Map<String, Service> services = new HashMap<>();

	private int vmCount = 1;

	private boolean vmCountKnown;

	/**
	 * Creates the budget of one VM.
	 * @param ratio the retries allowed for each request
	 * @param fleetExtra the additional retries of all VMs in one window
	 * @param windowNanos the length of the window
	 * @param nowNanos the time
	 */
	public FleetRetryBudget(double ratio, double fleetExtra, long windowNanos, long nowNanos) {
		this.ratio = ratio;
		this.fleetExtra = fleetExtra;
		this.windowNanos = windowNanos;
		this.startNanos = nowNanos;
	}

	/**
	 * Sets the number of VMs that share the budget. Until the first call this VM has no
	 * share of the additional retries.
	 * @param count the largest possible number of VMs, at least 1
	 */
	public void setVmCount(int count) {
		this.vmCount = Math.max(1, count);
		this.vmCountKnown = true;
	}

	/**
	 * Records the first attempt of a request at a service.
	 * @param service the name of the service
	 * @param nowNanos the time
	 */
	public void recordFirstAttempt(String service, long nowNanos) {
		Service attempts = service(service);
		attempts.firstAttemptTimes.addLast(nowNanos);
		removeOutsideWindow(attempts.firstAttemptTimes, nowNanos);
	}

	/**
	 * Acquires one retry if the budget allows it.
	 * @param service the name of the service
	 * @param nowNanos the time
	 * @return whether the request may be sent again
	 */
	public boolean tryAcquireRetry(String service, long nowNanos) {
		if (!hasRetry(service, nowNanos)) {
			return false;
		}
		service(service).retryTimes.addLast(nowNanos);
		return true;
	}

	/**
	 * Returns the last retry that was acquired, because nothing was sent.
	 * @param service the name of the service
	 */
	public void returnRetry(String service) {
		service(service).retryTimes.pollLast();
	}

	/**
	 * Returns whether the budget allows a retry now, without acquiring it.
	 * @param service the name of the service
	 * @param nowNanos the time
	 * @return whether {@link #tryAcquireRetry} would succeed
	 */
	public boolean hasRetry(String service, long nowNanos) {
		return hasRetryBeyond(0, service, nowNanos);
	}

	/**
	 * Returns whether the budget allows several retries now, without acquiring them.
	 * @param count the number of retries
	 * @param service the name of the service
	 * @param nowNanos the time
	 * @return whether all of them are left
	 */
	public boolean hasRetries(int count, String service, long nowNanos) {
		return hasRetries(count, 1, service, nowNanos);
	}

	/**
	 * Returns whether the budget allows a retry now that leaves a share of it to others.
	 * @param reservedShare the share of all retries of the window that must be left
	 * @param service the name of the service
	 * @param nowNanos the time
	 * @return whether enough retries are left
	 */
	public boolean hasRetryBeyond(double reservedShare, String service, long nowNanos) {
		return hasRetries(1, 1 - reservedShare, service, nowNanos);
	}

	private boolean hasRetries(int count, double usableShare, String service, long nowNanos) {
		Service attempts = service(service);
		removeOutsideWindow(attempts.firstAttemptTimes, nowNanos);
		removeOutsideWindow(attempts.retryTimes, nowNanos);
		return attempts.retryTimes.size() + count <= usableShare * allowedRetries(attempts, nowNanos);
	}

	private double allowedRetries(Service attempts, long nowNanos) {
		double secondsSinceStart = (nowNanos - this.startNanos) / NANOS_PER_SECOND;
		double windowSeconds = this.windowNanos / NANOS_PER_SECOND;
		double additionalRetries = this.vmCountKnown
				? this.fleetExtra / this.vmCount * Math.min(1, secondsSinceStart / windowSeconds) : 0;
		return SAFETY_FACTOR * (this.ratio * attempts.firstAttemptTimes.size() + additionalRetries);
	}

	private Service service(String name) {
		return this.services.computeIfAbsent(name, (key) -> new Service());
	}

	private void removeOutsideWindow(Deque<Long> times, long nowNanos) {
		while (!times.isEmpty() && nowNanos - times.peekFirst() > this.windowNanos) {
			times.removeFirst();
		}
	}

	private static final class Service {

		private final Deque<Long> firstAttemptTimes = new ArrayDeque<>();

		private final Deque<Long> retryTimes = new ArrayDeque<>();

	}

}
