package org.burdocktray.request.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.routing.ModelRoutes;
import org.burdocktray.version.routing.RouteNode;

/**
 * Builds a route stage by stage from the eligible engines of each step. Thread safety:
 * none, used for one request.
 */
final class RouteBuilder {

	private final Eligibility eligibility;

	RouteBuilder(Eligibility eligibility) {
		this.eligibility = eligibility;
	}

	/**
	 * Builds a route.
	 * @param routes the routes of the model
	 * @param engineSelector selects the next engine from a list with at least one engine
	 * @return the stages; empty if the selected engines have no eligible successor
	 */
	Optional<List<Engine>> build(ModelRoutes routes, Function<List<Engine>, Engine> engineSelector) {
		List<Engine> stages = new ArrayList<>();
		List<RouteNode> nodes = routes.entries();
		while (true) {
			List<Engine> engines = eligibleEngines(nodes);
			if (engines.isEmpty()) {
				return Optional.empty();
			}
			Engine selected = engineSelector.apply(engines);
			stages.add(selected);
			RouteNode node = nodeOf(nodes, selected);
			if (node.isLast()) {
				return Optional.of(stages);
			}
			nodes = node.successors();
		}
	}

	private List<Engine> eligibleEngines(List<RouteNode> nodes) {
		return nodes.stream()
			.flatMap((node) -> node.group().engines().stream())
			.filter(this.eligibility::allows)
			.toList();
	}

	private static RouteNode nodeOf(List<RouteNode> nodes, Engine engine) {
		return nodes.stream().filter((node) -> node.group().engines().contains(engine)).findFirst().orElseThrow();
	}

}
