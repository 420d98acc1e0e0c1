package org.burdocktray.request.route;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.burdocktray.process.load.LoadView;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Selects the engines for a request. Thread safety: implementations can be called from
 * any thread; the random generator belongs to the calling thread.
 */
public interface RoutingPolicy {

	/**
	 * Selects a route that uses only upstreams that accept new work.
	 * @param query the requirements for the route
	 * @param snapshot the routing data of the request's bundle version
	 * @param loads the status of the upstreams in this VM's local view
	 * @param random the source of random choices
	 * @return the route, empty if no complete route exists
	 */
	Optional<PipelineRoute> choose(RouteQuery query, RoutingSnapshot snapshot, LoadView loads, RandomGenerator random);

}
