package org.burdocktray.process.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long calls of plain services take while their replicas are not loaded.
 * Invariant: the number of services is bounded. Thread safety: none, confined to one
 * event loop.
 */
public final class ServiceTimes {

	private static final int MAX_SERVICES = 256;

	/** The weight of a call that is faster than the mean. */
	private static final double FASTER_WEIGHT = 0.2;

	/** Slow calls count less, since they tell of load rather than of the service. */
	private static final double SLOWER_WEIGHT = 0.01;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Map<String, Double> millisByService = new HashMap<>();

	/**
	 * Records a call that got a response.
	 * @param service the name of the service
	 * @param millis how long it took
	 */
	public void record(String service, double millis) {
		Double mean = this.millisByService.get(service);
		if (mean == null) {
			if (this.millisByService.size() < MAX_SERVICES) {
				this.millisByService.put(service, millis);
			}
			return;
		}
		double weight = (millis < mean) ? FASTER_WEIGHT : SLOWER_WEIGHT;
		this.millisByService.put(service, mean + weight * (millis - mean));
	}

	/**
	 * Returns the rate of calls that replicas can serve.
	 * @param service the name of the service
	 * @param slots the number of calls that its replicas process concurrently
	 * @return calls per second, 0 while no call is known
	 */
	public double requestsPerSecond(String service, int slots) {
		Double mean = this.millisByService.get(service);
		return (mean != null) ? MILLIS_PER_SECOND * slots / Math.max(1, mean) : 0;
	}

}
