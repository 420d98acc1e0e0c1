package org.burdocktray.version.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.burdocktray.model.DataCentre;
import org.burdocktray.version.bundle.Model;

/**
 * All routes through the engines of one model, weighted by the maximum flow. If the entry
 * and each next node are chosen by weight, the average traffic of each group and link
 * equals its flow. Thread safety: immutable.
 */
public final class ModelRoutes {

	private final double upperBoundTokensPerSecond;

	private final double tokensPerSecond;

	private final List<RouteNode> entries;

	private final WeightedChoice<RouteNode> entry;

	private ModelRoutes(double upperBoundTokensPerSecond, double tokensPerSecond, List<RouteNode> entries) {
		this.upperBoundTokensPerSecond = upperBoundTokensPerSecond;
		this.tokensPerSecond = tokensPerSecond;
		this.entries = List.copyOf(entries);
		this.entry = WeightedChoice.of(this.entries, RouteNode::flowTokensPerSecond);
	}

	/**
	 * Builds the routes from a flow.
	 * @param solved the model with its groups of engines and its upper bound
	 * @param links the existing links
	 * @param flow the flow that determines the weights
	 * @return the routes
	 */
	static ModelRoutes of(SolvedModel solved, LinkCapacities links, LayerFlow flow) {
		Model model = solved.model();
		List<StageGroup> groups = solved.groups();
		Map<Integer, List<RouteNode>> nodesByFromLayer = new HashMap<>();
		for (int index : indexesFromLastLayer(groups)) {
			StageGroup group = groups.get(index);
			boolean isLast = group.toLayer() == model.layers();
			List<RouteNode> successors = nodesByFromLayer.getOrDefault(group.toLayer(), List.of())
				.stream()
				.filter((node) -> links.exists(group.dataCentre(), node.group().dataCentre()))
				.toList();
			if (!isLast && successors.isEmpty()) {
				continue;
			}
			double tokensPerSecond = flow.groupMilliTokens()[index] / LayerFlow.MILLI;
			RouteNode node = new RouteNode(group, isLast, tokensPerSecond, successors,
					next(model, group, successors, flow));
			nodesByFromLayer.computeIfAbsent(group.fromLayer(), (ignored) -> new ArrayList<>()).add(node);
		}
		return new ModelRoutes(solved.upperBoundTokensPerSecond(), flow.tokensPerSecond(),
				nodesByFromLayer.getOrDefault(0, List.of()));
	}

	private static List<Integer> indexesFromLastLayer(List<StageGroup> groups) {
		List<Integer> indexes = new ArrayList<>();
		for (int i = 0; i < groups.size(); i++) {
			indexes.add(i);
		}
		indexes.sort(Comparator.comparing((index) -> -groups.get(index).fromLayer()));
		return indexes;
	}

	private static WeightedChoice<RouteNode> next(Model model, StageGroup group, List<RouteNode> successors,
			LayerFlow flow) {
		Map<DataCentre, Double> receivedFlows = new HashMap<>();
		for (RouteNode successor : successors) {
			receivedFlows.merge(successor.group().dataCentre(), successor.flowTokensPerSecond(), Double::sum);
		}
		return WeightedChoice.of(successors, (successor) -> {
			DataCentre to = successor.group().dataCentre();
			LinkUse use = new LinkUse(model.name(), group.toLayer(), group.dataCentre(), to);
			double linkFlow = flow.linkMilliTokens().getOrDefault(use, 0L);
			double receivedFlow = receivedFlows.get(to);
			return (receivedFlow > 0) ? linkFlow * successor.flowTokensPerSecond() / receivedFlow : 0;
		});
	}

	/**
	 * Returns an upper bound on the rate that the model's engines and links can serve.
	 * @return tokens per second
	 */
	public double upperBoundTokensPerSecond() {
		return this.upperBoundTokensPerSecond;
	}

	/**
	 * Returns the rate that is served if all engines reach their configured rates.
	 * @return tokens per second
	 */
	public double tokensPerSecond() {
		return this.tokensPerSecond;
	}

	/**
	 * Returns all nodes at which a route can start, including those without flow.
	 * @return the nodes
	 */
	public List<RouteNode> entries() {
		return this.entries;
	}

	/**
	 * Returns the choice of the first node, weighted by flow.
	 * @return the choice, empty if there is no flow
	 */
	public WeightedChoice<RouteNode> entry() {
		return this.entry;
	}

}
