package org.burdocktray.version.routing;

import java.util.List;
import java.util.Map;

import org.burdocktray.version.bundle.Link;
import org.burdocktray.version.bundle.Model;

/**
 * The maximum flow of a single model that can use the full capacity of all links. It is
 * cached and reused while its inputs are unchanged. Thread safety: immutable.
 *
 * @param model the model
 * @param groups the groups of engines of the model
 * @param links all links
 * @param flow the flow
 * @param upperBoundTokensPerSecond an upper bound on every flow of the model
 * @param usedBytes the bytes per second of the flow on each link
 */
record SolvedModel(Model model, List<StageGroup> groups, List<Link> links, LayerFlow flow,
		double upperBoundTokensPerSecond, Map<LinkId, Double> usedBytes) {

	boolean isSolutionFor(Model otherModel, List<StageGroup> otherGroups, List<Link> otherLinks) {
		return this.model.equals(otherModel) && this.groups.equals(otherGroups) && this.links.equals(otherLinks);
	}

	double usedBytes(Link link) {
		return this.usedBytes.getOrDefault(new LinkId(link.from(), link.to()), 0.0);
	}

	boolean canUse(Link link) {
		return this.usedBytes.containsKey(new LinkId(link.from(), link.to()));
	}

}
