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
 * Takes the engines that can come next in turn, from a random one on. A baseline for
 * comparisons; it ignores load and the stages of earlier attempts. Thread safety: one
 * atomic counter for each model and layer.
 */
public final class RoundRobinRouting implements RoutingPolicy {

	private final Map<Pool, AtomicLong> turns = new ConcurrentHashMap<>();

	@Override
	public Optional<PipelineRoute> choose(RouteQuery query, RoutingSnapshot snapshot, LoadView loads,
			RandomGenerator random) {
		RouteBuilder eligible = new RouteBuilder(new Eligibility(query.excludedUpstreams(), loads));
		return snapshot.routes(query.model())
			.flatMap((routes) -> eligible.build(routes, (engines) -> takeTurn(engines, random)))
			.map((stages) -> new PipelineRoute(query.model(), stages));
	}

	private Engine takeTurn(List<Engine> engines, RandomGenerator random) {
		Pool pool = new Pool(engines.get(0).model(), engines.get(0).fromLayer());
		long turn = this.turns.computeIfAbsent(pool, (ignored) -> new AtomicLong(random.nextInt(engines.size())))
			.getAndIncrement();
		return engines.get((int) Math.floorMod(turn, (long) engines.size()));
	}

	private record Pool(String model, int fromLayer) {

	}

}
