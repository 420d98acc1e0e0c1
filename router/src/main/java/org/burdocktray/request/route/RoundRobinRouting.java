package org.burdocktray.request.route;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import org.burdocktray.process.load.LoadView;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Selects the eligible engines of each stage in turn, starting with a random one. A
 * baseline for comparisons: it ignores load and the stages of earlier attempts. Thread
 * safety: one atomic counter for each model and layer.
 */
public final class RoundRobinRouting implements RoutingPolicy {

	private final Map<Pool, AtomicLong> counters = new ConcurrentHashMap<>();

	@Override
	public Optional<PipelineRoute> choose(RouteQuery query, RoutingSnapshot snapshot, LoadView loads,
			RandomGenerator random) {
		RouteBuilder routeBuilder = new RouteBuilder(new Eligibility(query.excludedUpstreams(), loads));
		return snapshot.routes(query.model())
			.flatMap((routes) -> routeBuilder.build(routes, (engines) -> selectNext(engines, random)))
			.map((stages) -> new PipelineRoute(query.model(), stages));
	}

	private Engine selectNext(List<Engine> engines, RandomGenerator random) {
		Pool pool = new Pool(engines.get(0).model(), engines.get(0).fromLayer());
		long count = this.counters.computeIfAbsent(pool, (ignored) -> new AtomicLong(random.nextInt(engines.size())))
			.getAndIncrement();
		return engines.get((int) Math.floorMod(count, (long) engines.size()));
	}

	private record Pool(String model, int fromLayer) {

	}

}
