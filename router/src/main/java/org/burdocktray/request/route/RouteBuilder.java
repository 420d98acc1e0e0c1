package org.burdocktray.request.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.routing.ModelRoutes;
import org.burdocktray.version.routing.RouteNode;

/**
 * Builds a route stage by stage from the engines that can come next. Thread safety: none,
 * used for one request.
 */
final class RouteBuilder {

	private final Eligibility eligibility;

	RouteBuilder(Eligibility eligibility) {
		this.eligibility = eligibility;
	}

	/**
	 * Builds a route.
	 * @param routes the routes of the model
	 * @param choice chooses one of the engines that can come next; there is at least one
	 * @return the stages; empty when the choices led to a dead end
	 */
	Optional<List<Engine>> build(ModelRoutes routes, Function<List<Engine>, Engine> choice) {
		List<Engine> stages = new ArrayList<>();
		List<RouteNode> nodes = routes.entries();
		while (true) {
			List<Engine> engines = engines(nodes);
			if (engines.isEmpty()) {
				return Optional.empty();
			}
			Engine chosen = choice.apply(engines);
			stages.add(chosen);
			RouteNode node = nodeOf(nodes, chosen);
			if (node.isLast()) {
				return Optional.of(stages);
			}
			nodes = node.successors();
		}
	}

	private List<Engine> engines(List<RouteNode> nodes) {
		return nodes.stream()
			.flatMap((node) -> node.group().engines().stream())
			.filter(this.eligibility::allows)
			.toList();
	}

	private static RouteNode nodeOf(List<RouteNode> nodes, Engine engine) {
		return nodes.stream().filter((node) -> node.group().engines().contains(engine)).findFirst().orElseThrow();
	}

}
