package org.burdocktray.process.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the arrivals at a service beyond the first of each request, over all VMs. Each
 * VM spends the ratio of the requests that it has itself sent, and an equal part of what
 * the fleet may send beside that. A process starts with no allowance, so that restarts do
 * not renew it. Invariant: within any window this VM sends at most its part. Thread
 * safety: none, confined to one event loop.
 */
public final class FleetRetryBudget {

	/**
	 * What the bound is undercut by, for requests whose first arrival is counted late.
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
	 * @param ratio repeats for each request
	 * @param fleetExtra repeats of all VMs in a window beside that
	 * @param windowNanos the window
	 * @param nowNanos the time
	 */
	public FleetRetryBudget(double ratio, double fleetExtra, long windowNanos, long nowNanos) {
		this.ratio = ratio;
		this.fleetExtra = fleetExtra;
		this.windowNanos = windowNanos;
		this.startNanos = nowNanos;
	}

	/**
	 * Takes in how many VMs share the budget.
	 * @param count the most that there can be, 1 or more
	 */
	public void setVmCount(int count) {
		this.vmCount = Math.max(1, count);
		this.vmCountKnown = true;
	}

	/**
	 * Notes a request's first arrival at a service.
	 * @param service the service
	 * @param nowNanos the time
	 */
	public void recordFirstAttempt(String service, long nowNanos) {
		Service counted = service(service);
		counted.firstAttemptTimes.addLast(nowNanos);
		removeOutsideWindow(counted.firstAttemptTimes, nowNanos);
	}

	/**
	 * Takes one repeat if the budget allows it.
	 * @param service the service
	 * @param nowNanos the time
	 * @return whether the request may be sent once more
	 */
	public boolean tryAcquireRetry(String service, long nowNanos) {
		Service counted = service(service);
		removeOutsideWindow(counted.firstAttemptTimes, nowNanos);
		removeOutsideWindow(counted.retryTimes, nowNanos);
		if (counted.retryTimes.size() + 1 > allowedRetries(counted, nowNanos)) {
			return false;
		}
		counted.retryTimes.addLast(nowNanos);
		return true;
	}

	private double allowedRetries(Service counted, long nowNanos) {
		double sinceStart = (nowNanos - this.startNanos) / NANOS_PER_SECOND;
		double window = this.windowNanos / NANOS_PER_SECOND;
		double part = this.vmCountKnown ? this.fleetExtra / this.vmCount * Math.min(1, sinceStart / window) : 0;
		return SAFETY_FACTOR * (this.ratio * counted.firstAttemptTimes.size() + part);
	}

	private Service service(String name) {
		return this.services.computeIfAbsent(name, (any) -> new Service());
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
