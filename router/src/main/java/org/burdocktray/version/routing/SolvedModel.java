package org.burdocktray.version.routing;

import java.util.List;
import java.util.Map;

import org.burdocktray.version.bundle.Link;
import org.burdocktray.version.bundle.Model;

/**
 * The flow of a model alone with whole links, kept so that it is not solved again while
 * what it follows from is unchanged. Thread safety: immutable.
 *
 * @param model the model
 * @param groups its groups of engines
 * @param links all links
 * @param flow the flow
 * @param upperBoundTokensPerSecond no flow of the model is above it
 * @param usedBytes the bytes a second that the flow puts on each link
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
