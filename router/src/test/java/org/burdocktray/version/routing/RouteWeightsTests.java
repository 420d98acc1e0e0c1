package org.burdocktray.version.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Link;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RouteWeightsTests {

	private static final double TOLERANCE = 1e-3;

	@Test
	void stageWithTheLowestRateLimitsTheFlow() {
		ModelRoutes routes = routes(
				new FleetBuilder().model("m", 2).engine("a", "x", "m", 0, 1, 100).engine("b", "x", "m", 1, 2, 40));
		assertThat(routes.tokensPerSecond()).isEqualTo(40);
		assertThat(routes.upperBoundTokensPerSecond()).isEqualTo(40);
	}

	@Test
	void allEnginePairsShareTheCapacityOfALink() {
		ModelRoutes routes = routes(new FleetBuilder().model("m", 2)
			.engine("a1", "x", "m", 0, 1, 100)
			.engine("a2", "x", "m", 0, 1, 100)
			.engine("b1", "y", "m", 1, 2, 100)
			.engine("b2", "y", "m", 1, 2, 100)
			.link("x", "y", 30));
		assertThat(routes.tokensPerSecond()).isEqualTo(30);
	}

	@Test
	void allLayerBoundariesShareTheCapacityOfALink() {
		ModelRoutes routes = routes(new FleetBuilder().model("m", 4)
			.engine("a", "x", "m", 0, 1, 100)
			.engine("b", "y", "m", 1, 2, 100)
			.engine("c", "x", "m", 2, 3, 100)
			.engine("d", "y", "m", 3, 4, 100)
			.link("x", "y", 30)
			.link("y", "x", 100));
		assertThat(routes.tokensPerSecond()).isCloseTo(15, within(TOLERANCE));
		assertThat(routes.upperBoundTokensPerSecond()).isCloseTo(15, within(TOLERANCE));
	}

	@Test
	void modelsShareALinkInProportionToTheirUse() {
		FleetBuilder fleet = new FleetBuilder().model("m", 2).model("n", 2).link("x", "y", 40);
		for (String model : List.of("m", "n")) {
			fleet.engine(model + "1", "x", model, 0, 1, 30).engine(model + "2", "y", model, 1, 2, 30);
		}
		RouteWeights weights = fleet.snapshot().weights();
		assertThat(weights.routes("m").orElseThrow().tokensPerSecond()).isCloseTo(20, within(TOLERANCE));
		assertThat(weights.routes("n").orElseThrow().tokensPerSecond()).isCloseTo(20, within(TOLERANCE));
		assertThat(weights.routes("n").orElseThrow().upperBoundTokensPerSecond()).isEqualTo(30);
	}

	@Test
	void unalignedLayerRangesAreConnectedWhereTheirLayersMeet() {
		ModelRoutes routes = routes(new FleetBuilder().model("m", 3)
			.engine("a", "x", "m", 0, 1, 10)
			.engine("b", "x", "m", 0, 2, 20)
			.engine("c", "x", "m", 1, 3, 40)
			.engine("d", "x", "m", 2, 3, 5)
			.engine("deadEnd", "x", "m", 0, 2, 5));
		assertThat(routes.tokensPerSecond()).isEqualTo(15);
	}

	@Test
	void usesOnlyLinksWithinDataCentresWhenTheyAreSufficient() {
		ModelRoutes routes = routes(new FleetBuilder().model("m", 2)
			.engine("a", "x", "m", 0, 1, 10)
			.engine("b", "x", "m", 1, 2, 10)
			.engine("c", "y", "m", 0, 1, 10)
			.engine("d", "y", "m", 1, 2, 10)
			.link("x", "y", 100)
			.link("y", "x", 100));
		assertThat(routes.entries()).allSatisfy((entry) -> assertThat(entry.next().items())
			.allSatisfy((next) -> assertThat(next.group().dataCentre()).isEqualTo(entry.group().dataCentre())));
	}

	@Test
	void balancesUtilisationOfGroupsThatDoNotLimitTheFlow() {
		ModelRoutes routes = routes(new FleetBuilder().model("m", 2)
			.engine("a", "x", "m", 0, 1, 100)
			.engine("b", "y", "m", 0, 1, 100)
			.engine("c", "x", "m", 1, 2, 100)
			.link("y", "x", 1000));
		assertThat(routes.entries())
			.allSatisfy((entry) -> assertThat(entry.flowTokensPerSecond()).isCloseTo(50, within(2.0)));
	}

	@Test
	void enginesOutOfServiceHaveNoFlow() {
		Bundle bundle = new FleetBuilder().model("m", 1)
			.engine("a", "x", "m", 0, 1, 10)
			.engine("b", "x", "m", 0, 1, 20)
			.bundle();
		RoutingSnapshot snapshot = RoutingSnapshot.of(bundle).next(bundle, Set.of("b"));
		assertThat(snapshot.routes("m").orElseThrow().tokensPerSecond()).isEqualTo(10);
		assertThat(snapshot.engines("m")).hasSize(2);
	}

	@Test
	void reusesWeightsUntilTheirInputsChange() {
		Bundle bundle = new FleetBuilder().model("m", 1).engine("a", "x", "m", 0, 1, 10).bundle();
		RoutingSnapshot snapshot = RoutingSnapshot.of(bundle);
		Bundle later = new FleetBuilder().model("m", 1).engine("a", "x", "m", 0, 1, 10).bundle();
		assertThat(snapshot.next(later, Set.of()).weights()).isSameAs(snapshot.weights());
		assertThat(snapshot.next(later, Set.of("a")).weights()).isNotSameAs(snapshot.weights());
	}

	@Test
	void incrementallyComputedWeightsEqualThoseOfAFirstComputation() {
		RoutingSnapshot changed = RoutingSnapshot.of(randomFleet(1)).next(randomFleet(2), Set.of());
		RoutingSnapshot fresh = RoutingSnapshot.of(randomFleet(2));
		assertThat(changed.routes("m").orElseThrow().tokensPerSecond())
			.isEqualTo(fresh.routes("m").orElseThrow().tokensPerSecond());
	}

	@Test
	void modelWithoutACompleteRouteHasNoFlow() {
		ModelRoutes routes = routes(
				new FleetBuilder().model("m", 2).engine("a", "x", "m", 0, 1, 10).engine("b", "y", "m", 1, 2, 10));
		assertThat(routes.tokensPerSecond()).isZero();
		assertThat(routes.entries()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void flowReachesTheUpperBoundWithinEngineRatesAndLinkCapacities(long seed) {
		Bundle bundle = randomFleet(seed);
		ModelRoutes routes = RoutingSnapshot.of(bundle).routes("m").orElseThrow();
		double bound = routes.upperBoundTokensPerSecond();
		assertThat(routes.tokensPerSecond()).isCloseTo(bound, within(TOLERANCE * (bound + 1)));
		FlowTraversal traversal = new FlowTraversal(routes);
		assertThat(traversal.totalFlow).isCloseTo(routes.tokensPerSecond(), within(TOLERANCE * (bound + 1)));
		traversal.flowByNode
			.forEach((node, flow) -> assertThat(flow).isLessThanOrEqualTo(node.group().tokensPerSecond() + TOLERANCE));
		for (Link link : bundle.links()) {
			double linkFlow = traversal.flowByLink.getOrDefault(link.from() + ">" + link.to(), 0.0);
			assertThat(linkFlow * 1000).isLessThanOrEqualTo(link.bytesPerSecond() * (1 + TOLERANCE));
		}
	}

	private static Bundle randomFleet(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		FleetBuilder fleet = new FleetBuilder().model("m", 6);
		for (int i = 0; i < 30; i++) {
			int from = random.nextInt(6);
			int to = from + 1 + random.nextInt(6 - from);
			fleet.engine("e" + i, "x" + random.nextInt(4), "m", from, to, 10 + random.nextInt(200));
		}
		for (int from = 0; from < 4; from++) {
			for (int to = 0; to < 4; to++) {
				if (from != to && random.nextInt(4) > 0) {
					fleet.link("x" + from, "x" + to, 1 + (long) Math.pow(100, random.nextDouble()));
				}
			}
		}
		return fleet.bundle();
	}

	private static ModelRoutes routes(FleetBuilder fleet) {
		return fleet.snapshot().routes("m").orElseThrow();
	}

	/**
	 * Adds up the flow of nodes and links over all routes by the probabilities of the
	 * choices.
	 */
	private static final class FlowTraversal {

		private final Map<RouteNode, Double> flowByNode = new HashMap<>();

		private final Map<String, Double> flowByLink = new HashMap<>();

		private double totalFlow;

		FlowTraversal(ModelRoutes routes) {
			visit(routes.entry(), routes.tokensPerSecond(), "");
		}

		private void visit(WeightedChoice<RouteNode> choice, double flow, String from) {
			for (int i = 0; i < choice.items().size(); i++) {
				RouteNode node = choice.items().get(i);
				double share = flow * choice.probability(i);
				this.flowByNode.merge(node, share, Double::sum);
				this.flowByLink.merge(from + ">" + node.group().dataCentre(), share, Double::sum);
				if (node.isLast()) {
					this.totalFlow += share;
				}
				else {
					visit(node.next(), share, node.group().dataCentre().name());
				}
			}
		}

	}

}
