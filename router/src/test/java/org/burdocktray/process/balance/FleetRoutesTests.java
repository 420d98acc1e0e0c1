package org.burdocktray.process.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.demand.DataCentreDemand;
import org.burdocktray.process.demand.DemandReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.TestReplicas;
import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.process.settings.GatewayOptions.BalancingOptions;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.ServiceRule;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetRoutesTests {

	private static final DataCentre GHENT = new DataCentre("ghent");

	private static final RoutingRules RULES = new RoutingRules(1, List.of(),
			Map.of("s", new ServiceRule("s", "/", 100, Optional.of(TestReplicas.PROFILE))), false, Map.of(), null);

	private static final List<Replica> LIKE = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
			TestReplicas.engine("b", "ghent", "fast", 5, 10), TestReplicas.engine("c", "ghent", "fast", 0, 5),
			TestReplicas.engine("d", "ghent", "fast", 5, 10));

	private final List<String> reasons = new ArrayList<>();

	private long nowNanos;

	private FleetRoutes routes = create(Activation.AUTO);

	/** Guards against a change for fleets with like engines and an even load. */
	@Test
	void calmFleetOfLikeEnginesIsServedAsBefore() {
		tick(LIKE);
		assertThat(this.routes.isActive("s")).isFalse();
		assertThat(this.routes.draw("s", new SplittableRandom(1))).isEmpty();
		assertThat(this.reasons).isEmpty();
	}

	@Test
	void takesEffectWithUnlikeEnginesOrAlways() {
		List<Replica> unlike = new ArrayList<>(LIKE);
		unlike.add(TestReplicas.engine("e", "ghent", "slow", 0, 3));
		tick(unlike);
		assertThat(this.routes.draw("s", new SplittableRandom(1))).isPresent();
		this.routes = create(Activation.ALWAYS);
		tick(LIKE);
		assertThat(this.routes.draw("s", new SplittableRandom(1))).isPresent();
	}

	/**
	 * Guards against herds while a lost group is replaced, and against staying active.
	 */
	@Test
	void takesEffectForAWhileWhenGroupIsLost() {
		tick(LIKE);
		tick(LIKE.subList(0, 2));
		assertThat(this.routes.draw("s", new SplittableRandom(1)).orElseThrow()).isEqualTo(LIKE.subList(0, 2));
		for (int second = 0; second < 31; second++) {
			tick(LIKE.subList(0, 2));
		}
		assertThat(this.routes.isActive("s")).isFalse();
		assertThat(this.reasons).containsExactly("uneven utilisation or lost engines", "even load");
	}

	/** Guards against requests to an engine that has left or lost its layers. */
	@Test
	void lostEnginesAreNotDrawnAfterTheNextUpdate() {
		this.routes = create(Activation.ALWAYS);
		tick(LIKE);
		tick(LIKE.subList(1, 4));
		SplittableRandom random = new SplittableRandom(1);
		for (int draw = 0; draw < 50; draw++) {
			assertThat(this.routes.draw("s", random).orElseThrow()).doesNotContain(LIKE.get(0));
		}
	}

	private void tick(List<Replica> engines) {
		this.nowNanos += TimeUnit.SECONDS.toNanos(1);
		this.routes.tick(Map.of("s", engines), RULES, this.nowNanos);
	}

	private FleetRoutes create(Activation activation) {
		return new FleetRoutes(GHENT, new BalancingOptions(activation, 1.3, 10_000), (engine) -> 1, new ReplicaTimes(),
				(now) -> List.of(new DataCentreDemand(GHENT, 1, DemandReport.NONE, now)), new FleetRoutes.Listener() {
					@Override
					public void onActivation(String service, boolean isActive, String reason) {
						FleetRoutesTests.this.reasons.add(reason);
					}

					@Override
					public void onShares(String service, List<DataCentreLoad> loads, boolean isLarge) {
					}
				});
	}

}
