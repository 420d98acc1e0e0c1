package org.burdocktray.request.route;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.routing.ModelRoutes;
import org.burdocktray.version.routing.RouteNode;

/**
 * Searches all routes for one that keeps as many layers as possible at the engines of an
 * earlier attempt. It finds a route whenever one exists. Its cost grows with the number
 * of engines, so it is used only if weighted draws do not suffice. Thread safety: none,
 * used for one request.
 */
final class RouteSearch {

	private static final int NO_ROUTE = -1;

	private final Eligibility eligibility;

	private final Set<String> keptUpstreams;

	private final Function<RouteNode, Optional<Engine>> engineSelector;

	private final Function<List<RouteNode>, RouteNode> nodeSelector;

	private final Map<RouteNode, Integer> keptLayers = new IdentityHashMap<>();

	/**
	 * Creates a search.
	 * @param eligibility decides which upstreams may be used
	 * @param keptStages the engines to keep
	 * @param engineSelector selects an engine of a node that has an eligible one
	 * @param nodeSelector selects between nodes that keep the same number of layers
	 */
	RouteSearch(Eligibility eligibility, List<Engine> keptStages, Function<RouteNode, Optional<Engine>> engineSelector,
			Function<List<RouteNode>, RouteNode> nodeSelector) {
		this.eligibility = eligibility;
		this.keptUpstreams = keptStages.stream().map(Engine::name).collect(Collectors.toSet());
		this.engineSelector = engineSelector;
		this.nodeSelector = nodeSelector;
	}

	Optional<List<Engine>> find(ModelRoutes routes) {
		List<Engine> stages = new ArrayList<>();
		Optional<RouteNode> node = selectNode(routes.entries());
		while (node.isPresent()) {
			Optional<Engine> engine = selectEngine(node.get());
			if (engine.isEmpty()) {
				return Optional.empty();
			}
			stages.add(engine.get());
			if (node.get().isLast()) {
				return Optional.of(stages);
			}
			node = selectNode(node.get().successors());
		}
		return Optional.empty();
	}

	private Optional<RouteNode> selectNode(List<RouteNode> nodes) {
		int maxKeptLayers = nodes.stream().mapToInt(this::keptLayersFrom).max().orElse(NO_ROUTE);
		if (maxKeptLayers == NO_ROUTE) {
			return Optional.empty();
		}
		List<RouteNode> best = nodes.stream().filter((node) -> keptLayersFrom(node) == maxKeptLayers).toList();
		return Optional.of((best.size() == 1) ? best.get(0) : this.nodeSelector.apply(best));
	}

	private int keptLayersFrom(RouteNode node) {
		Integer cached = this.keptLayers.get(node);
		if (cached != null) {
			return cached;
		}
		int kept = countKeptLayers(node);
		this.keptLayers.put(node, kept);
		return kept;
	}

	private int countKeptLayers(RouteNode node) {
		if (node.group().engines().stream().noneMatch(this.eligibility::allows)) {
			return NO_ROUTE;
		}
		int keptAtNode = keptEngine(node).map((engine) -> engine.toLayer() - engine.fromLayer()).orElse(0);
		if (node.isLast()) {
			return keptAtNode;
		}
		int keptAfterNode = node.successors().stream().mapToInt(this::keptLayersFrom).max().orElse(NO_ROUTE);
		return (keptAfterNode == NO_ROUTE) ? NO_ROUTE : keptAtNode + keptAfterNode;
	}

	private Optional<Engine> selectEngine(RouteNode node) {
		Optional<Engine> kept = keptEngine(node);
		return (kept.isPresent()) ? kept : this.engineSelector.apply(node);
	}

	private Optional<Engine> keptEngine(RouteNode node) {
		if (this.keptUpstreams.isEmpty()) {
			return Optional.empty();
		}
		return node.group()
			.engines()
			.stream()
			.filter((engine) -> this.keptUpstreams.contains(engine.name()) && this.eligibility.allows(engine))
			.findFirst();
	}

}
