package org.burdocktray.request.stream;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.version.bundle.Engine;

/**
 * Selects the routes of one response around the upstreams that have failed it or were
 * silent. Invariant: an upstream that has failed is not selected again. Thread safety:
 * confined to one thread at a time.
 */
final class RouteSelection {

	private final StreamRequest request;

	private final RoutePlanner planner;

	private final Set<String> failedUpstreams = new HashSet<>();

	private final Map<String, Engine> silentUpstreams = new LinkedHashMap<>();

	RouteSelection(StreamRequest request, RoutePlanner planner) {
		this.request = request;
		this.planner = planner;
	}

	void markFailed(Collection<String> upstreamNames) {
		this.failedUpstreams.addAll(upstreamNames);
	}

	void markSilent(Engine stage) {
		this.silentUpstreams.put(stage.name(), stage);
	}

	/**
	 * Records which upstreams did not respond to a probe. The others can be used again.
	 * @param unresponsiveUpstreams their names
	 */
	void retainSilent(Set<String> unresponsiveUpstreams) {
		this.silentUpstreams.keySet().retainAll(unresponsiveUpstreams);
	}

	/**
	 * Selects a route after a failure. Upstreams that were silent are used only if no
	 * other route exists.
	 * @param keptStages the stages to keep
	 * @return the route, empty if no complete route exists
	 */
	Optional<PipelineRoute> planAfterFailure(List<Engine> keptStages) {
		Optional<PipelineRoute> newRoute = this.planner.plan(query(excluded(Set.of()), keptStages));
		if (newRoute.isPresent() || this.silentUpstreams.isEmpty()) {
			return newRoute;
		}
		return this.planner.plan(query(this.failedUpstreams, keptStages));
	}

	/**
	 * Selects a route around upstreams that are silent at present.
	 * @param silentNames their names
	 * @param keptStages the stages to keep
	 * @return the route, empty if no complete route exists
	 */
	Optional<PipelineRoute> planAround(Set<String> silentNames, List<Engine> keptStages) {
		return this.planner.plan(query(excluded(silentNames), keptStages));
	}

	/**
	 * Returns the stages of a route that have not failed.
	 * @param route the route
	 * @return the stages to keep after a failure
	 */
	List<Engine> soundStages(PipelineRoute route) {
		return stagesWithout(route, this.failedUpstreams);
	}

	/**
	 * Returns the stages of a route that have neither failed nor been silent.
	 * @param route the route
	 * @param silentNames the names of further upstreams that are silent
	 * @return the stages to keep beside them
	 */
	List<Engine> responsiveStages(PipelineRoute route, Set<String> silentNames) {
		return stagesWithout(route, excluded(silentNames));
	}

	/**
	 * Returns the engines to probe: the stages of a route, and the engines that were
	 * silent, because they can be used again once they respond.
	 * @param route the route
	 * @return the engines
	 */
	List<Engine> stagesToProbe(PipelineRoute route) {
		Set<Engine> probed = new LinkedHashSet<>(route.stages());
		probed.addAll(this.silentUpstreams.values());
		return List.copyOf(probed);
	}

	private Set<String> excluded(Set<String> silentNames) {
		Set<String> excluded = new HashSet<>(this.failedUpstreams);
		excluded.addAll(this.silentUpstreams.keySet());
		excluded.addAll(silentNames);
		return excluded;
	}

	private static List<Engine> stagesWithout(PipelineRoute route, Set<String> excludedUpstreams) {
		return route.stages().stream().filter((stage) -> !excludedUpstreams.contains(stage.name())).toList();
	}

	private RouteQuery query(Set<String> excludedUpstreams, List<Engine> keptStages) {
		return new RouteQuery(this.request.model(), this.request.localDataCentre(), this.request.prefixFingerprint(),
				excludedUpstreams, keptStages);
	}

}
