package org.burdocktray.version.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Link;
import org.burdocktray.version.bundle.Model;

/**
 * Computes the token rates that the engines and links of a bundle can serve. First each
 * model is solved independently as a maximum flow in which each layer boundary may use
 * the full capacity of each link. The result is exact if no link is used beyond its
 * capacity. Otherwise a link that several models use is divided between them in
 * proportion to that use, and {@link PathProgram} divides the share of each model between
 * its layer boundaries, which is exact for one model. The upper bound of a model is that
 * of the model on its own with full links. Thread safety: none, confined to one thread.
 */
final class FlowSolver {

	/**
	 * Share of a link's capacity in each model's weight, so that every model gets some.
	 */
	private static final double MIN_WEIGHT_SHARE = 0.01;

	private final Bundle bundle;

	private final Map<String, List<StageGroup>> groups;

	private final Map<String, SolvedModel> previousSolutions;

	private final LinkCapacities fullLinks;

	private final Map<String, SolvedModel> solved = new LinkedHashMap<>();

	private final Map<Link, Double> linkWeights = new HashMap<>();

	/**
	 * Creates the solver.
	 * @param bundle the models and links
	 * @param groupsByModel the groups of engines by the name of their model
	 * @param previousSolutions the solutions of the previous bundle, by the name of their
	 * model
	 */
	FlowSolver(Bundle bundle, Map<String, List<StageGroup>> groupsByModel, Map<String, SolvedModel> previousSolutions) {
		this.bundle = bundle;
		this.groups = groupsByModel;
		this.previousSolutions = previousSolutions;
		this.fullLinks = new LinkCapacities(bundle.links());
	}

	/**
	 * Solves each model independently with full links.
	 * @return the solutions by the name of their model
	 */
	Map<String, SolvedModel> solveIndependently() {
		this.bundle.models().forEach((model) -> this.solved.put(model.name(), solveIndependently(model)));
		return this.solved;
	}

	/**
	 * Divides the links between the models. Must be called after
	 * {@link #solveIndependently}.
	 * @return a flow for each model; the engines and links can serve all flows together
	 */
	Map<String, LayerFlow> solveWithSharedLinks() {
		this.bundle.links().forEach((link) -> this.linkWeights.put(link, weight(link)));
		boolean isAnyOverused = this.bundle.links().stream().anyMatch(this::isOverused);
		Map<String, LayerFlow> flows = new LinkedHashMap<>();
		for (SolvedModel independent : this.solved.values()) {
			flows.put(independent.model().name(),
					(isAnyOverused) ? solveWithin(independent, shares(independent)) : independent.flow());
		}
		return flows;
	}

	private SolvedModel solveIndependently(Model model) {
		List<StageGroup> modelGroups = this.groups.getOrDefault(model.name(), List.of());
		SolvedModel previous = this.previousSolutions.get(model.name());
		if (previous != null && previous.isSolutionFor(model, modelGroups, this.bundle.links())) {
			return previous;
		}
		ToLongFunction<LinkUse> capacity = (use) -> milliTokens(model,
				this.fullLinks.bytesPerSecond(use.from(), use.to()));
		LayerFlow flow = new BalancedFlow(new LayerGraph(model, modelGroups, this.fullLinks), capacity).solve();
		SolvedModel solution = new SolvedModel(model, modelGroups, this.bundle.links(), flow, flow.tokensPerSecond(),
				usedBytes(model, flow));
		if (isWithinCapacities(solution, this.fullLinks)) {
			return solution;
		}
		double upperBound = new PathProgram(model, modelGroups, this.fullLinks).solve().upperBoundTokensPerSecond();
		return new SolvedModel(model, modelGroups, this.bundle.links(), flow, upperBound, solution.usedBytes());
	}

	private LayerFlow solveWithin(SolvedModel independent, LinkCapacities shares) {
		if (isWithinCapacities(independent, shares)) {
			return independent.flow();
		}
		Map<LinkUse, Long> linkFlows = new PathProgram(independent.model(), independent.groups(), shares).solve()
			.linkMilliTokens();
		ToLongFunction<LinkUse> capacity = (use) -> (shares.isUnlimited(use.from(), use.to())) ? FlowNetwork.UNBOUNDED
				: linkFlows.getOrDefault(use, 0L);
		return new BalancedFlow(new LayerGraph(independent.model(), independent.groups(), this.fullLinks), capacity)
			.solve();
	}

	private LinkCapacities shares(SolvedModel model) {
		return new LinkCapacities(this.bundle.links().stream().map((link) -> share(model, link)).toList());
	}

	private Link share(SolvedModel model, Link link) {
		double share = weight(model, link) / this.linkWeights.get(link);
		long sharedBytes = (model.canUse(link)) ? (long) Math.floor(link.bytesPerSecond() * share) : 0;
		return new Link(link.from(), link.to(), sharedBytes, link.oneWayMicros());
	}

	private double weight(Link link) {
		return this.solved.values().stream().mapToDouble((model) -> weight(model, link)).sum();
	}

	private static double weight(SolvedModel model, Link link) {
		return (model.canUse(link)) ? model.usedBytes(link) + MIN_WEIGHT_SHARE * link.bytesPerSecond() : 0;
	}

	private boolean isWithinCapacities(SolvedModel model, LinkCapacities capacities) {
		return this.bundle.links()
			.stream()
			.allMatch((link) -> Math.floor(model.usedBytes(link)) <= capacities.bytesPerSecond(link.from(), link.to()));
	}

	private boolean isOverused(Link link) {
		double bytes = this.solved.values().stream().mapToDouble((model) -> model.usedBytes(link)).sum();
		return Math.floor(bytes) > link.bytesPerSecond();
	}

	private static Map<LinkId, Double> usedBytes(Model model, LayerFlow flow) {
		Map<LinkId, Double> bytes = new HashMap<>();
		flow.linkMilliTokens()
			.forEach((use, milliTokens) -> bytes.merge(new LinkId(use.from(), use.to()),
					milliTokens / LayerFlow.MILLI * model.activationBytesPerToken(), Double::sum));
		return bytes;
	}

	private static long milliTokens(Model model, long bytesPerSecond) {
		if (bytesPerSecond == Long.MAX_VALUE) {
			return FlowNetwork.UNBOUNDED;
		}
		double tokensPerSecond = (double) bytesPerSecond / model.activationBytesPerToken();
		return (long) Math.floor(tokensPerSecond * LayerFlow.MILLI);
	}

}
