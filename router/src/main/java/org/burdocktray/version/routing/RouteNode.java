package org.burdocktray.version.routing;

import java.util.List;

import org.burdocktray.version.bundle.Engine;

/**
 * A stage of a route: a group of engines that hold the same layers. Invariant: each
 * successor starts at the layer where this node ends. Nodes are compared by identity.
 * Thread safety: immutable.
 */
public final class RouteNode {

	private final StageGroup group;

	private final boolean last;

	private final double flowTokensPerSecond;

	private final List<RouteNode> successors;

	private final WeightedChoice<RouteNode> next;

	private final WeightedChoice<Engine> engines;

	RouteNode(StageGroup group, boolean last, double flowTokensPerSecond, List<RouteNode> successors,
			WeightedChoice<RouteNode> next) {
		this.group = group;
		this.last = last;
		this.flowTokensPerSecond = flowTokensPerSecond;
		this.successors = List.copyOf(successors);
		this.next = next;
		this.engines = WeightedChoice.of(group.engines(), Engine::tokensPerSecond);
	}

	/**
	 * Returns the engines of this stage.
	 * @return the group
	 */
	public StageGroup group() {
		return this.group;
	}

	/**
	 * Returns whether a route can end at this node.
	 * @return true if the group holds the model's last layer
	 */
	public boolean isLast() {
		return this.last;
	}

	/**
	 * Returns the flow through the group in the maximum flow.
	 * @return tokens per second
	 */
	public double flowTokensPerSecond() {
		return this.flowTokensPerSecond;
	}

	/**
	 * Returns the flow through one engine of the group.
	 * @param engine an engine of the group
	 * @return tokens per second
	 */
	public double flowTokensPerSecond(Engine engine) {
		return this.flowTokensPerSecond * engine.tokensPerSecond() / this.group.tokensPerSecond();
	}

	/**
	 * Returns all possible next nodes, including those without flow.
	 * @return the nodes, empty for a node that holds the last layer
	 */
	public List<RouteNode> successors() {
		return this.successors;
	}

	/**
	 * Returns the choice of the next node, weighted by flow.
	 * @return the choice, empty if there is no flow to another node
	 */
	public WeightedChoice<RouteNode> next() {
		return this.next;
	}

	/**
	 * Returns the choice of an engine, weighted by token rate.
	 * @return the choice
	 */
	public WeightedChoice<Engine> engines() {
		return this.engines;
	}

}
