package org.burdocktray.request.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.burdocktray.process.load.LoadView;
import org.burdocktray.process.load.UpstreamStatus;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.routing.ModelRoutes;
import org.burdocktray.version.routing.RouteNode;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.burdocktray.version.routing.WeightedChoice;

/**
 * Draws two different candidates for each stage by the weights of the maximum flow and
 * selects the one with less load relative to its flow. The first candidate is derived
 * from the fingerprint of the prompt's prefix, if there is one, and may be slightly more
 * loaded than the second, so that its cached prefix is used. Between first stages with
 * similar load, one in this VM's data centre is preferred. If no eligible engine is
 * drawn, or if stages of an earlier attempt are kept, all routes are searched. Thread
 * safety: stateless.
 */
public final class MaxFlowRouting implements RoutingPolicy {

	private static final int MAX_DRAWS = 4;

	private static final double PREFIX_AFFINITY_SLACK = 0.25;

	private static final double LOCAL_DATA_CENTRE_SLACK = 0.05;

	@Override
	public Optional<PipelineRoute> choose(RouteQuery query, RoutingSnapshot snapshot, LoadView loads,
			RandomGenerator random) {
		Optional<ModelRoutes> routes = snapshot.routes(query.model());
		if (routes.isEmpty()) {
			return Optional.empty();
		}
		Decision decision = new Decision(query, new Eligibility(query.excludedUpstreams(), loads), random);
		return decision.decide(routes.get()).map((stages) -> new PipelineRoute(query.model(), stages));
	}

	/**
	 * The selection of a route for one request. Thread safety: none.
	 */
	private static final class Decision {

		private final RouteQuery query;

		private final Eligibility eligibility;

		private final RandomGenerator random;

		private final PrefixAffinity affinity;

		Decision(RouteQuery query, Eligibility eligibility, RandomGenerator random) {
			this.query = query;
			this.eligibility = eligibility;
			this.random = random;
			this.affinity = new PrefixAffinity(query.prefixFingerprint());
		}

		Optional<List<Engine>> decide(ModelRoutes routes) {
			if (this.query.keptStages().isEmpty()) {
				Optional<List<Engine>> drawn = draw(routes);
				if (drawn.isPresent()) {
					return drawn;
				}
			}
			return new RouteSearch(this.eligibility, this.query.keptStages(), this::chooseEngine, this::chooseNode)
				.find(routes);
		}

		private Optional<List<Engine>> draw(ModelRoutes routes) {
			List<Engine> stages = new ArrayList<>();
			WeightedChoice<RouteNode> choice = routes.entry();
			while (!choice.isEmpty()) {
				Optional<StageCandidate> stage = drawStage(choice, stages.isEmpty());
				if (stage.isEmpty()) {
					return Optional.empty();
				}
				stages.add(stage.get().engine());
				if (stage.get().node().isLast()) {
					return Optional.of(stages);
				}
				choice = stage.get().node().next();
			}
			return Optional.empty();
		}

		private Optional<StageCandidate> drawStage(WeightedChoice<RouteNode> choice, boolean isFirstStage) {
			Optional<StageCandidate> preferred = drawPreferred(choice);
			if (preferred.isEmpty()) {
				return drawEligible(choice);
			}
			Optional<StageCandidate> alternative = drawAlternative(choice, preferred.get().engine());
			if (alternative.isEmpty()) {
				return preferred;
			}
			double slack = (hasPrefix()) ? PREFIX_AFFINITY_SLACK : 0;
			if (isFirstStage) {
				slack += localSlack(preferred.get()) - localSlack(alternative.get());
			}
			return (StageLoad.isFirstPreferred(preferred.get(), alternative.get(), slack)) ? preferred : alternative;
		}

		private double localSlack(StageCandidate candidate) {
			return (candidate.engine().dataCentre().equals(this.query.localDataCentre())) ? LOCAL_DATA_CENTRE_SLACK : 0;
		}

		private boolean hasPrefix() {
			return this.query.prefixFingerprint() != 0;
		}

		private Optional<StageCandidate> drawPreferred(WeightedChoice<RouteNode> choice) {
			if (!hasPrefix()) {
				return drawEligible(choice);
			}
			RouteNode node = choice.pick(this.affinity.nextDouble());
			return eligible(node, node.engines().pick(this.affinity.nextDouble()));
		}

		private Optional<StageCandidate> drawEligible(WeightedChoice<RouteNode> choice) {
			for (int draw = 0; draw < MAX_DRAWS; draw++) {
				RouteNode node = choice.pick(this.random.nextDouble());
				Optional<StageCandidate> candidate = eligible(node, node.engines().pick(this.random.nextDouble()));
				if (candidate.isPresent()) {
					return candidate;
				}
			}
			return Optional.empty();
		}

		private Optional<StageCandidate> drawAlternative(WeightedChoice<RouteNode> choice, Engine engine) {
			for (int draw = 0; draw < MAX_DRAWS; draw++) {
				Optional<StageCandidate> candidate = drawEligible(choice);
				if (candidate.isPresent() && candidate.get().engine() != engine) {
					return candidate;
				}
			}
			// Repeated draws of the same engine are common with few engines, and then the
			// search is cheap.
			return leastLoaded(choice.items());
		}

		private Optional<StageCandidate> eligible(RouteNode node, Engine engine) {
			UpstreamStatus status = this.eligibility.loads().status(engine.name());
			if (!this.eligibility.allows(engine.name(), status)) {
				return Optional.empty();
			}
			return Optional.of(new StageCandidate(node, engine, status));
		}

		private RouteNode chooseNode(List<RouteNode> nodes) {
			double total = nodes.stream().mapToDouble(RouteNode::flowTokensPerSecond).sum();
			double position = this.random.nextDouble() * total;
			for (RouteNode node : nodes) {
				position -= node.flowTokensPerSecond();
				if (position < 0) {
					return node;
				}
			}
			return nodes.get(this.random.nextInt(nodes.size()));
		}

		private Optional<Engine> chooseEngine(RouteNode node) {
			return leastLoaded(List.of(node)).map(StageCandidate::engine);
		}

		private Optional<StageCandidate> leastLoaded(List<RouteNode> nodes) {
			Optional<StageCandidate> best = Optional.empty();
			for (RouteNode node : nodes) {
				for (Engine engine : node.group().engines()) {
					Optional<StageCandidate> candidate = eligible(node, engine);
					if (candidate.isEmpty()) {
						continue;
					}
					if (best.isEmpty() || StageLoad.isFirstPreferred(candidate.get(), best.get(), 0)) {
						best = candidate;
					}
				}
			}
			return best;
		}

	}

}
