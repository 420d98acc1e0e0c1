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
 * Works out how many tokens a second the engines and links of a bundle can serve. First
 * each model is solved alone as a maximum flow in which each layer boundary may use the
 * whole of each link. When no link is used beyond its capacity, that is exact. Otherwise
 * a link that several models use is divided between them in proportion to that use, and
 * {@link PathProgram} divides each model's part between its boundaries, which is exact
 * for one model. The upper bound of a model is that of the model alone with whole links.
 * Thread safety: none, confined to one thread.
 */
final class FlowSolver {

	/** The part of a link that is divided evenly, so that no model is without any. */
	private static final double EVEN_SHARE = 0.01;

	private final Bundle bundle;

	private final Map<String, List<StageGroup>> groups;

	private final Map<String, SolvedModel> earlier;

	private final LinkCapacities wholeLinks;

	private final Map<String, SolvedModel> solved = new LinkedHashMap<>();

	private final Map<Link, Double> linkWeights = new HashMap<>();

	/**
	 * Creates the solver.
	 * @param bundle the models and links
	 * @param groupsByModel the groups of engines by model
	 * @param earlier what was solved before, by model
	 */
	FlowSolver(Bundle bundle, Map<String, List<StageGroup>> groupsByModel, Map<String, SolvedModel> earlier) {
		this.bundle = bundle;
		this.groups = groupsByModel;
		this.earlier = earlier;
		this.wholeLinks = new LinkCapacities(bundle.links());
	}

	/**
	 * Solves each model alone.
	 * @return the solved models by name
	 */
	Map<String, SolvedModel> solveIndependently() {
		this.bundle.models().forEach((model) -> this.solved.put(model.name(), solveIndependently(model)));
		return this.solved;
	}

	/**
	 * Divides the links between the models. Comes after {@link #solveIndependently}.
	 * @return a flow for each model that all engines and links together can serve
	 */
	Map<String, LayerFlow> solveWithSharedLinks() {
		this.bundle.links().forEach((link) -> this.linkWeights.put(link, weight(link)));
		boolean overused = this.bundle.links().stream().anyMatch(this::isOverused);
		Map<String, LayerFlow> servable = new LinkedHashMap<>();
		for (SolvedModel alone : this.solved.values()) {
			servable.put(alone.model().name(), (overused) ? solveWithin(alone, shares(alone)) : alone.flow());
		}
		return servable;
	}

	private SolvedModel solveIndependently(Model model) {
		List<StageGroup> held = this.groups.getOrDefault(model.name(), List.of());
		SolvedModel before = this.earlier.get(model.name());
		if (before != null && before.isSolutionFor(model, held, this.bundle.links())) {
			return before;
		}
		ToLongFunction<LinkUse> whole = (use) -> milliTokens(model,
				this.wholeLinks.bytesPerSecond(use.from(), use.to()));
		LayerFlow flow = new BalancedFlow(new LayerGraph(model, held, this.wholeLinks), whole).solve();
		SolvedModel relaxed = new SolvedModel(model, held, this.bundle.links(), flow, flow.tokensPerSecond(),
				usedBytes(model, flow));
		if (fits(relaxed, this.wholeLinks)) {
			return relaxed;
		}
		double upperBound = new PathProgram(model, held, this.wholeLinks).solve().upperBoundTokensPerSecond();
		return new SolvedModel(model, held, this.bundle.links(), flow, upperBound, relaxed.usedBytes());
	}

	private LayerFlow solveWithin(SolvedModel alone, LinkCapacities shares) {
		if (fits(alone, shares)) {
			return alone.flow();
		}
		Map<LinkUse, Long> divided = new PathProgram(alone.model(), alone.groups(), shares).solve().linkMilliTokens();
		ToLongFunction<LinkUse> capacity = (use) -> (shares.isUnlimited(use.from(), use.to())) ? FlowNetwork.UNBOUNDED
				: divided.getOrDefault(use, 0L);
		return new BalancedFlow(new LayerGraph(alone.model(), alone.groups(), this.wholeLinks), capacity).solve();
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
		return (model.canUse(link)) ? model.usedBytes(link) + EVEN_SHARE * link.bytesPerSecond() : 0;
	}

	private boolean fits(SolvedModel model, LinkCapacities capacities) {
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
