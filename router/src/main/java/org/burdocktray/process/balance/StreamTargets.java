package org.burdocktray.process.balance;

import org.burdocktray.version.rules.RequestKind;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;

/**
 * The targets of the streams of a service. Thread safety: immutable.
 *
 * @param firstEventMillis the time within which the first event is on time
 * @param eventGapMillis the longest pause that is on time
 */
public record StreamTargets(long firstEventMillis, long eventGapMillis) {

	/** Targets that every engine meets. */
	public static final StreamTargets NONE = new StreamTargets(Long.MAX_VALUE, Long.MAX_VALUE);

	/**
	 * Returns the targets of a route.
	 * @param route the route
	 * @return its targets; what it does not limit is {@link Long#MAX_VALUE}
	 */
	public static StreamTargets of(RouteRule route) {
		return new StreamTargets(bound(route.targetLatencyMillis()), bound(route.targetEventGapMillis()));
	}

	/**
	 * Returns the strictest targets of the streaming routes that lead to a service.
	 * @param rules the rules in force
	 * @param service the name of the service
	 * @return the targets, {@link #NONE} without such a route
	 */
	public static StreamTargets strictest(RoutingRules rules, String service) {
		return rules.routes()
			.stream()
			.filter((route) -> route.kind() == RequestKind.STREAMING)
			.filter((route) -> route.targets().stream().anyMatch((target) -> target.service().equals(service)))
			.map(StreamTargets::of)
			.reduce(NONE, StreamTargets::stricter);
	}

	private StreamTargets stricter(StreamTargets other) {
		return new StreamTargets(Math.min(this.firstEventMillis, other.firstEventMillis),
				Math.min(this.eventGapMillis, other.eventGapMillis));
	}

	private static long bound(long millis) {
		return (millis > 0) ? millis : Long.MAX_VALUE;
	}

}
