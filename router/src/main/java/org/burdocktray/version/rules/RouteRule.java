package org.burdocktray.version.rules;

import java.util.List;

/**
 * A rule that routes the requests of a host and path prefix to services. Thread safety:
 * immutable.
 *
 * @param name the name of the route
 * @param host the host of the request, without a port
 * @param pathPrefix the prefix of the path, starting and ending with a slash
 * @param kind how often a request may be executed
 * @param resumable whether a stream can be continued after an event id at another replica
 * @param timeoutMillis the time limit for the final response
 * @param targetLatencyMillis the time within which a response is on time
 * @param targetEventGapMillis the longest time between events of a stream on time, 0 for
 * none
 * @param priority the priority of the route, 0 is the highest
 * @param maxAttempts the maximum number of replicas that one request is sent to
 * @param isPublic whether a request needs no key
 * @param targets the services with their weights, at least one
 */
public record RouteRule(String name, String host, String pathPrefix, RequestKind kind, boolean resumable,
		long timeoutMillis, long targetLatencyMillis, long targetEventGapMillis, int priority, int maxAttempts,
		boolean isPublic, List<WeightedService> targets) {

	private static final long MIN_CALLER_TIMEOUT_MILLIS = 2_000;

	private static final long TIMEOUT_LATENCY_FACTOR = 4;

	private static final long TIMEOUT_GAP_FACTOR = 8;

	public RouteRule {
		targets = List.copyOf(targets);
		if (targets.isEmpty()) {
			throw new IllegalArgumentException("route \"" + name + "\" has no targets, expected at least one service");
		}
	}

	/**
	 * Returns whether a request that may have been executed can be sent again.
	 * @return true if a second execution is safe
	 */
	public boolean isRepeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAMING && this.resumable);
	}

	/**
	 * Returns the assumed time that a caller of a stream waits for the first or next
	 * event before it disconnects.
	 * @return milliseconds
	 */
	public long callerTimeoutMillis() {
		long byLatency = TIMEOUT_LATENCY_FACTOR * this.targetLatencyMillis;
		long byEventGap = TIMEOUT_GAP_FACTOR * this.targetEventGapMillis;
		return Math.max(MIN_CALLER_TIMEOUT_MILLIS, Math.max(byLatency, byEventGap));
	}

	/**
	 * Selects the service for a request in proportion to the weights.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the name of the service
	 */
	public String pickService(double draw) {
		int total = this.targets.stream().mapToInt(WeightedService::weight).sum();
		double remaining = draw * total;
		for (WeightedService target : this.targets) {
			remaining -= target.weight();
			if (remaining < 0) {
				return target.service();
			}
		}
		return this.targets.get(this.targets.size() - 1).service();
	}

}
