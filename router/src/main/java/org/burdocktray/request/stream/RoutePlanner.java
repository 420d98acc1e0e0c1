package org.burdocktray.request.stream;

import java.util.Optional;

import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;

/**
 * Selects a route for an attempt. Thread safety: called by one session at a time.
 */
@FunctionalInterface
public interface RoutePlanner {

	/**
	 * Selects a route.
	 * @param query the requirements for the route
	 * @return the route, empty if no complete route exists
	 */
	Optional<PipelineRoute> plan(RouteQuery query);

}
