package org.burdocktray.version.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.burdocktray.model.DataCentre;
import org.burdocktray.version.bundle.Model;

/**
 * The layer graph of one model. A group of engines is an edge between two nodes, with its
 * token rate as capacity. The groups that end at a layer boundary in one data centre
 * share one sending node, those that start there share one receiving node, and one edge
 * between the two nodes represents the link, so that all pairs of engines share the
 * link's capacity. Thread safety: none, confined to one solver.
 */
final class LayerGraph {

	private static final int SOURCE = 0;

	private static final int SINK = 1;

	private final List<StageGroup> groups;

	private final List<LinkUse> linkUses = new ArrayList<>();

	private final List<Integer> linkSenders = new ArrayList<>();

	private final List<Integer> linkReceivers = new ArrayList<>();

	private final int[] nodesBefore;

	private final int[] nodesAfter;

	private int nodes = 2;

	/**
	 * Creates the graph.
	 * @param model the model
	 * @param groups the groups of engines of the model
	 * @param links the existing links
	 */
	LayerGraph(Model model, List<StageGroup> groups, LinkCapacities links) {
		this.groups = groups;
		this.nodesBefore = new int[groups.size()];
		this.nodesAfter = new int[groups.size()];
		Map<Boundary, Integer> senders = new LinkedHashMap<>();
		Map<Boundary, Integer> receivers = new LinkedHashMap<>();
		for (int i = 0; i < groups.size(); i++) {
			StageGroup group = groups.get(i);
			Boundary start = new Boundary(group.fromLayer(), group.dataCentre());
			Boundary end = new Boundary(group.toLayer(), group.dataCentre());
			boolean first = group.fromLayer() == 0;
			boolean last = group.toLayer() == model.layers();
			this.nodesBefore[i] = (first) ? SOURCE : receivers.computeIfAbsent(start, (boundary) -> this.nodes++);
			this.nodesAfter[i] = (last) ? SINK : senders.computeIfAbsent(end, (boundary) -> this.nodes++);
		}
		senders.forEach((from, sender) -> receivers.forEach((to, receiver) -> {
			if (from.layer() == to.layer() && links.exists(from.dataCentre(), to.dataCentre())) {
				this.linkUses.add(new LinkUse(model.name(), from.layer(), from.dataCentre(), to.dataCentre()));
				this.linkSenders.add(sender);
				this.linkReceivers.add(receiver);
			}
		}));
	}

	List<LinkUse> linkUses() {
		return this.linkUses;
	}

	long[] groupRates() {
		return this.groups.stream()
			.mapToLong((group) -> Math.round(group.tokensPerSecond() * LayerFlow.MILLI))
			.toArray();
	}

	/**
	 * Computes a maximum flow that uses links between data centres only if the links
	 * within data centres are not sufficient.
	 * @param groupCapacities the capacity of each group, in thousandths of tokens per
	 * second
	 * @param linkCapacities the capacity of each use of a link, in the same unit
	 * @return the flow and its minimum cut
	 */
	Solution solve(long[] groupCapacities, long[] linkCapacities) {
		FlowNetwork network = new FlowNetwork(this.nodes + 2 * this.groups.size());
		int[] groupEdges = new int[this.groups.size()];
		for (int i = 0; i < groupEdges.length; i++) {
			network.addEdge(this.nodesBefore[i], entryNode(i), FlowNetwork.UNBOUNDED);
			network.addEdge(entryNode(i) + 1, this.nodesAfter[i], FlowNetwork.UNBOUNDED);
			groupEdges[i] = network.addEdge(entryNode(i), entryNode(i) + 1, groupCapacities[i]);
		}
		int[] linkEdges = new int[this.linkUses.size()];
		for (int i = 0; i < linkEdges.length; i++) {
			long capacity = (this.linkUses.get(i).isLocal()) ? linkCapacities[i] : 0;
			linkEdges[i] = network.addEdge(this.linkSenders.get(i), this.linkReceivers.get(i), capacity);
		}
		long total = network.augment(SOURCE, SINK);
		for (int i = 0; i < linkEdges.length; i++) {
			if (!this.linkUses.get(i).isLocal()) {
				network.raiseCapacity(linkEdges[i], linkCapacities[i]);
			}
		}
		total += network.augment(SOURCE, SINK);
		return new Solution(total, network, groupEdges, linkEdges);
	}

	LayerFlow flow(Solution solution) {
		long[] groupFlows = new long[this.groups.size()];
		for (int i = 0; i < groupFlows.length; i++) {
			groupFlows[i] = solution.network().flow(solution.groupEdges()[i]);
		}
		Map<LinkUse, Long> linkFlows = new HashMap<>();
		for (int i = 0; i < this.linkUses.size(); i++) {
			linkFlows.put(this.linkUses.get(i), solution.network().flow(solution.linkEdges()[i]));
		}
		return new LayerFlow(solution.totalMilliTokens(), groupFlows, linkFlows);
	}

	/**
	 * Determines the groups that limit a flow.
	 * @param solution the maximum flow
	 * @return for each group whether it is part of the minimum cut
	 */
	boolean[] minimumCut(Solution solution) {
		boolean[] critical = new boolean[this.groups.size()];
		for (int i = 0; i < critical.length; i++) {
			critical[i] = solution.network().isOnSourceSide(entryNode(i))
					&& !solution.network().isOnSourceSide(entryNode(i) + 1);
		}
		return critical;
	}

	private int entryNode(int groupIndex) {
		return this.nodes + 2 * groupIndex;
	}

	/**
	 * A maximum flow. Thread safety: none, confined to one solver.
	 *
	 * @param totalMilliTokens the flow out of the last layer, in thousandths of tokens
	 * per second
	 * @param network the network with the flow
	 * @param groupEdges the index of the edge of each group
	 * @param linkEdges the index of the edge of each use of a link
	 */
	record Solution(long totalMilliTokens, FlowNetwork network, int[] groupEdges, int[] linkEdges) {

	}

	private record Boundary(int layer, DataCentre dataCentre) {

	}

}
