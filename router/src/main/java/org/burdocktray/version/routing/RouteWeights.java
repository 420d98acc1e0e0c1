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
 * The routes of all models of a bundle, weighted by the maximum flow. Computed once per
 * bundle version and set of upstreams in service. Thread safety: immutable.
 */
public final class RouteWeights {

	private final Map<String, ModelRoutes> routes;

	private final Map<String, SolvedModel> solved;

	private RouteWeights(Map<String, ModelRoutes> routes, Map<String, SolvedModel> solved) {
		this.routes = Map.copyOf(routes);
		this.solved = Map.copyOf(solved);
	}

	/**
	 * Returns an instance without models.
	 * @return weights without routes
	 */
	static RouteWeights empty() {
		return new RouteWeights(Map.of(), Map.of());
	}

	/**
	 * Computes the weights of a bundle. Models are not solved again if they are unchanged
	 * and share no overused link.
	 * @param bundle a consistent bundle
	 * @param outOfService the names of engines that get no new requests
	 * @return the weights, this instance if nothing relevant has changed
	 */
	RouteWeights next(Bundle bundle, Set<String> outOfService) {
		Map<String, List<Engine>> engines = bundle.engines()
			.stream()
			.filter((engine) -> !outOfService.contains(engine.name()))
			.collect(Collectors.groupingBy(Engine::model));
		Map<String, List<StageGroup>> groups = new LinkedHashMap<>();
		engines.forEach((model, modelEngines) -> groups.put(model, StageGroup.group(modelEngines)));
		FlowSolver solver = new FlowSolver(bundle, groups, this.solved);
		Map<String, SolvedModel> solutions = solver.solveIndependently();
		if (solutions.equals(this.solved)) {
			return this;
		}
		Map<String, LayerFlow> flows = solver.solveWithSharedLinks();
		LinkCapacities links = new LinkCapacities(bundle.links());
		Map<String, ModelRoutes> next = new LinkedHashMap<>();
		solutions.forEach((name, solution) -> next.put(name, ModelRoutes.of(solution, links, flows.get(name))));
		return new RouteWeights(next, solutions);
	}

	/**
	 * Finds the routes of a model.
	 * @param model the name of the model
	 * @return the routes, empty if the bundle does not contain the model
	 */
	public Optional<ModelRoutes> routes(String model) {
		return Optional.ofNullable(this.routes.get(model));
	}

}
