package org.burdocktray.request.route;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.burdocktray.process.load.LoadView;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Selects for each stage the engine with the fewest requests of this VM in flight, at
 * random among equal ones. A baseline for comparisons: it ignores rates, links, load
 * reports and the stages of earlier attempts. Thread safety: stateless.
 */
public final class LeastInFlightRouting implements RoutingPolicy {

	@Override
	public Optional<PipelineRoute> choose(RouteQuery query, RoutingSnapshot snapshot, LoadView loads,
			RandomGenerator random) {
		RouteBuilder routeBuilder = new RouteBuilder(new Eligibility(query.excludedUpstreams(), loads));
		return snapshot.routes(query.model())
			.flatMap((routes) -> routeBuilder.build(routes, (engines) -> leastLoaded(engines, loads, random)))
			.map((stages) -> new PipelineRoute(query.model(), stages));
	}

	private static Engine leastLoaded(List<Engine> engines, LoadView loads, RandomGenerator random) {
		int fewest = engines.stream().mapToInt((engine) -> inFlight(engine, loads)).min().orElseThrow();
		List<Engine> candidates = engines.stream().filter((engine) -> inFlight(engine, loads) == fewest).toList();
		return candidates.get(random.nextInt(candidates.size()));
	}

	private static int inFlight(Engine engine, LoadView loads) {
		return loads.status(engine.name()).ownInFlight();
	}

}
