package org.burdocktray.version.rules;

import java.util.List;

/**
 * One route. Thread safety: immutable.
 *
 * @param name the name of the route
 * @param host the host that the request names
 * @param pathPrefix the beginning of the path, with a slash at both ends
 * @param kind how often a request may run
 * @param resumable whether a stream may go on at another replica behind an event id
 * @param timeoutMillis the longest time until the final answer
 * @param targetLatencyMillis the time in which an answer is on time
 * @param targetEventGapMillis the longest pause between events of a stream that is on
 * time; 0 for none
 * @param priority the rank of the route, 0 first
 * @param maxAttempts the most replicas that one request may be sent to
 * @param isPublic whether a request needs no key
 * @param targets the services, at least one
 */
public record RouteRule(String name, String host, String pathPrefix, RequestKind kind, boolean resumable,
		long timeoutMillis, long targetLatencyMillis, long targetEventGapMillis, int priority, int maxAttempts,
		boolean isPublic, List<WeightedService> targets) {

	private static final long MIN_PATIENCE_MILLIS = 2_000;

	private static final long PATIENCE_LATENCIES = 4;

	private static final long PATIENCE_GAPS = 8;

	public RouteRule {
		targets = List.copyOf(targets);
		if (targets.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no service");
		}
	}

	/**
	 * Tells whether a request that may have run can be sent again.
	 * @return whether a second run does no harm
	 */
	public boolean isRepeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAMING && this.resumable);
	}

	/**
	 * Returns how long a caller of a stream waits for its next event, or the first one.
	 * @return the time after which it goes away
	 */
	public long callerTimeoutMillis() {
		long byLatency = PATIENCE_LATENCIES * this.targetLatencyMillis;
		long byGap = PATIENCE_GAPS * this.targetEventGapMillis;
		return Math.max(MIN_PATIENCE_MILLIS, Math.max(byLatency, byGap));
	}

	/**
	 * Picks the service of one request.
	 * @param draw a number from 0 inclusive to 1 exclusive
	 * @return the name of the service
	 */
	public String pickService(double draw) {
		int total = this.targets.stream().mapToInt(WeightedService::weight).sum();
		double left = draw * total;
		for (WeightedService target : this.targets) {
			left -= target.weight();
			if (left < 0) {
				return target.service();
			}
		}
		return this.targets.get(this.targets.size() - 1).service();
	}

}
