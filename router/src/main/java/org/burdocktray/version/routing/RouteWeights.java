package org.burdocktray.version.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;

/**
 * The routes of all models of a bundle with the weights of the maximum flow. They are
 * worked out once for each bundle version and set of upstreams in service. Thread safety:
 * immutable.
 */
public final class RouteWeights {

	private final Map<String, ModelRoutes> routes;

	private final Map<String, SolvedModel> solved;

	private RouteWeights(Map<String, ModelRoutes> routes, Map<String, SolvedModel> solved) {
		this.routes = Map.copyOf(routes);
		this.solved = Map.copyOf(solved);
	}

	/**
	 * Returns the weights of no models.
	 * @return weights without routes
	 */
	static RouteWeights empty() {
		return new RouteWeights(Map.of(), Map.of());
	}

	/**
	 * Solves the flows of a bundle. Models that neither changed nor share a link with too
	 * much use are not solved again.
	 * @param bundle a consistent bundle
	 * @param outOfService names of engines that get no new work
	 * @return the weights
	 */
	RouteWeights next(Bundle bundle, Set<String> outOfService) {
		Map<String, List<Engine>> engines = bundle.engines()
			.stream()
			.filter((engine) -> !outOfService.contains(engine.name()))
			.collect(Collectors.groupingBy(Engine::model));
		Map<String, List<StageGroup>> groups = new LinkedHashMap<>();
		engines.forEach((model, held) -> groups.put(model, StageGroup.group(held)));
		FlowSolver bound = new FlowSolver(bundle, groups, this.solved);
		Map<String, SolvedModel> solvedAlone = bound.solveIndependently();
		if (solvedAlone.equals(this.solved)) {
			return this;
		}
		Map<String, LayerFlow> flows = bound.solveWithSharedLinks();
		LinkCapacities links = new LinkCapacities(bundle.links());
		Map<String, ModelRoutes> next = new LinkedHashMap<>();
		solvedAlone.forEach((name, solvedModel) -> next.put(name, ModelRoutes.of(solvedModel, links, flows.get(name))));
		return new RouteWeights(next, solvedAlone);
	}

	/**
	 * Finds the routes of a model.
	 * @param model the name of the model
	 * @return the routes, empty when the bundle has no such model
	 */
	public Optional<ModelRoutes> routes(String model) {
		return Optional.ofNullable(this.routes.get(model));
	}

}
