package org.burdocktray.request.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.load.LoadView;
import org.burdocktray.process.load.UpstreamStatus;
import org.burdocktray.process.load.UpstreamStatus.Availability;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.routing.FleetBuilder;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class MaxFlowRoutingTests {

	private static final int DRAWS = 4000;

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<String, UpstreamStatus> statuses = new HashMap<>();

	private final LoadView loads = (name) -> this.statuses.getOrDefault(name, UpstreamStatus.unknown());

	private final SplittableRandom random = new SplittableRandom(11);

	private final RoutingPolicy policy = new MaxFlowRouting();

	private final RoutingSnapshot twoStages = new FleetBuilder().model("m", 2)
		.engine("a1", "x", "m", 0, 1, 100)
		.engine("a2", "x", "m", 0, 1, 300)
		.engine("b1", "x", "m", 1, 2, 200)
		.engine("b2", "y", "m", 1, 2, 200)
		.link("x", "y", 1000)
		.snapshot();

	@Test
	void selectsEnginesInProportionToFlowWhenLoadsAreProportional() {
		status("a1", 9, 9, 0);
		status("a2", 29, 29, 0);
		Map<String, Double> shares = shares(query(0, Set.of(), List.of()));
		assertThat(shares.get("a2")).isCloseTo(0.75, within(0.05));
		assertThat(shares.get("b1")).isCloseTo(0.5, within(0.05));
	}

	@Test
	void avoidsMoreLoadedEngine() {
		status("b1", 100, 100, 0);
		assertThat(shares(query(0, Set.of(), List.of()))).doesNotContainKey("b1");
	}

	@Test
	void ignoresStaleReport() {
		status("b1", 0, 100, 15 * SECOND_NANOS);
		Map<String, Double> shares = shares(query(0, Set.of(), List.of()));
		assertThat(shares.get("b1")).isCloseTo(0.5, within(0.05));
	}

	@Test
	void neverSelectsLeavingEjectedOrExcludedEngines() {
		this.statuses.put("a1", new UpstreamStatus(0, 0, 0, Availability.LEAVING, Long.MAX_VALUE));
		this.statuses.put("b1", new UpstreamStatus(0, 0, 0, Availability.EJECTED, Long.MAX_VALUE));
		assertThat(shares(query(0, Set.of(), List.of()))).containsOnlyKeys("a2", "b2");
		assertThat(choose(query(0, Set.of("b2"), List.of()))).isEmpty();
	}

	@Test
	void newEngineIsSelectedLessDuringSlowStart() {
		status("b1", 4, 4, 0);
		this.statuses.put("b2", new UpstreamStatus(4, 4, 0, Availability.AVAILABLE, 3 * SECOND_NANOS));
		assertThat(shares(query(0, Set.of(), List.of()))).doesNotContainKey("b2");
	}

	@Test
	void samePrefixSelectsSameRouteUnlessOverloaded() {
		Map<String, Double> shares = shares(query(42, Set.of(), List.of()));
		String preferred = (shares.getOrDefault("b1", 0.0) > 0.5) ? "b1" : "b2";
		assertThat(shares.get(preferred)).isEqualTo(1);
		status(preferred, 100, 100, 0);
		assertThat(shares(query(42, Set.of(), List.of()))).doesNotContainKey(preferred);
	}

	@Test
	void prefixesAreDistributedInProportionToFlow() {
		status("a1", 9, 9, 0);
		status("a2", 29, 29, 0);
		Map<String, Integer> counts = new HashMap<>();
		for (long prefix = 1; prefix <= DRAWS; prefix++) {
			choose(query(prefix, Set.of(), List.of())).orElseThrow()
				.stages()
				.forEach((engine) -> counts.merge(engine.name(), 1, Integer::sum));
		}
		assertThat((double) counts.get("a1") / DRAWS).isCloseTo(0.25, within(0.05));
		assertThat((double) counts.get("b1") / DRAWS).isCloseTo(0.5, within(0.05));
	}

	@Test
	void prefersFirstStageInLocalDataCentreAtEqualLoad() {
		RoutingSnapshot snapshot = new FleetBuilder().model("m", 1)
			.engine("near", "x", "m", 0, 1, 100)
			.engine("far", "y", "m", 0, 1, 100)
			.snapshot();
		long near = 0;
		for (int i = 0; i < DRAWS; i++) {
			near += this.policy.choose(query(0, Set.of(), List.of()), snapshot, this.loads, this.random)
				.filter((route) -> route.stages().get(0).name().equals("near"))
				.stream()
				.count();
		}
		assertThat((double) near / DRAWS).isGreaterThan(0.9);
	}

	@Test
	void replacesOnlyExcludedStage() {
		RoutingSnapshot snapshot = new FleetBuilder().model("m", 3)
			.engine("a1", "x", "m", 0, 1, 10)
			.engine("a2", "x", "m", 0, 1, 1000)
			.engine("b1", "x", "m", 1, 2, 10)
			.engine("b2", "x", "m", 1, 2, 1000)
			.engine("c1", "x", "m", 2, 3, 10)
			.engine("c2", "x", "m", 2, 3, 1000)
			.snapshot();
		List<Engine> kept = kept(snapshot, "a1", "c1");
		for (int i = 0; i < 20; i++) {
			Optional<PipelineRoute> route = this.policy.choose(query(0, Set.of("b2"), kept), snapshot, this.loads,
					this.random);
			assertThat(route.orElseThrow().stages()).extracting(Engine::name).containsExactly("a1", "b1", "c1");
		}
	}

	@Test
	void keepsMostLayersWhenNotAllStagesCanBeKept() {
		RoutingSnapshot snapshot = new FleetBuilder().model("m", 4)
			.engine("short", "x", "m", 0, 1, 100)
			.engine("long", "x", "m", 1, 4, 100)
			.engine("half1", "x", "m", 0, 2, 100)
			.engine("half2", "x", "m", 2, 4, 100)
			.snapshot();
		List<Engine> kept = kept(snapshot, "long", "half1");
		Optional<PipelineRoute> route = this.policy.choose(query(0, Set.of("half2"), kept), snapshot, this.loads,
				this.random);
		assertThat(route.orElseThrow().stages()).extracting(Engine::name).containsExactly("short", "long");
	}

	@Test
	void findsOnlyEligibleRouteAmongManyEngines() {
		FleetBuilder fleet = new FleetBuilder().model("m", 2).engine("last", "x", "m", 1, 2, 1);
		for (int i = 0; i < 200; i++) {
			fleet.engine("a" + i, "x", "m", 0, 1, 100);
			if (i != 77) {
				this.statuses.put("a" + i, new UpstreamStatus(0, 0, 0, Availability.EJECTED, Long.MAX_VALUE));
			}
		}
		Optional<PipelineRoute> route = this.policy.choose(query(0, Set.of(), List.of()), fleet.snapshot(), this.loads,
				this.random);
		assertThat(route.orElseThrow().stages()).extracting(Engine::name).containsExactly("a77", "last");
	}

	@Test
	void unknownModelHasNoRoute() {
		RouteQuery query = new RouteQuery("none", new DataCentre("x"), 0, Set.of(), List.of());
		assertThat(choose(query)).isEmpty();
	}

	private static List<Engine> kept(RoutingSnapshot snapshot, String... names) {
		return snapshot.engines("m").stream().filter((engine) -> List.of(names).contains(engine.name())).toList();
	}

	private void status(String name, int own, int reported, long ageNanos) {
		this.statuses.put(name, new UpstreamStatus(own, reported, ageNanos, Availability.AVAILABLE, Long.MAX_VALUE));
	}

	private static RouteQuery query(long prefix, Set<String> excluded, List<Engine> kept) {
		return new RouteQuery("m", new DataCentre("x"), prefix, excluded, kept);
	}

	private Optional<PipelineRoute> choose(RouteQuery query) {
		return this.policy.choose(query, this.twoStages, this.loads, this.random);
	}

	private Map<String, Double> shares(RouteQuery query) {
		Map<String, Double> shares = new HashMap<>();
		for (int i = 0; i < DRAWS; i++) {
			for (Engine engine : choose(query).orElseThrow().stages()) {
				shares.merge(engine.name(), 1.0 / DRAWS, Double::sum);
			}
		}
		shares.replaceAll((name, share) -> Math.round(share * DRAWS) / (double) DRAWS);
		return shares;
	}

}
