package org.burdocktray.request.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.load.LoadView;
import org.burdocktray.process.load.UpstreamStatus;
import org.burdocktray.process.load.UpstreamStatus.Availability;
import org.burdocktray.version.routing.FleetBuilder;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class BaselineRoutingTests {

	private static final RouteQuery QUERY = new RouteQuery("m", new DataCentre("x"), 0, Set.of(), List.of());

	private final SplittableRandom random = new SplittableRandom(3);

	private final RoutingSnapshot snapshot = new FleetBuilder().model("m", 1)
		.engine("a", "x", "m", 0, 1, 100)
		.engine("b", "x", "m", 0, 1, 300)
		.engine("c", "x", "m", 0, 1, 300)
		.snapshot();

	@Test
	void roundRobinSelectsEachEngineInTurn() {
		RoutingPolicy policy = new RoundRobinRouting();
		Map<String, Integer> counts = new HashMap<>();
		for (int i = 0; i < 30; i++) {
			counts.merge(firstEngine(policy, (name) -> UpstreamStatus.unknown()), 1, Integer::sum);
		}
		assertThat(counts).isEqualTo(Map.of("a", 10, "b", 10, "c", 10));
	}

	@Test
	void leastInFlightSelectsEngineWithFewestOwnRequests() {
		LoadView loads = (name) -> new UpstreamStatus((name.equals("b")) ? 1 : 2, 0, 0, Availability.AVAILABLE, 0);
		assertThat(firstEngine(new LeastInFlightRouting(), loads)).isEqualTo("b");
	}

	@ParameterizedTest
	@MethodSource("policies")
	void selectsOnlyEnginesThatAcceptNewWork(RoutingPolicy policy) {
		LoadView loads = (name) -> new UpstreamStatus(0, 0, 0,
				(name.equals("c")) ? Availability.AVAILABLE : Availability.LEAVING, 0);
		assertThat(firstEngine(policy, loads)).isEqualTo("c");
		LoadView noneAvailable = (name) -> new UpstreamStatus(0, 0, 0, Availability.EJECTED, 0);
		Optional<PipelineRoute> route = policy.choose(QUERY, this.snapshot, noneAvailable, this.random);
		assertThat(route).isEmpty();
	}

	static Stream<RoutingPolicy> policies() {
		return Stream.of(new RoundRobinRouting(), new LeastInFlightRouting());
	}

	private String firstEngine(RoutingPolicy policy, LoadView loads) {
		return policy.choose(QUERY, this.snapshot, loads, this.random).orElseThrow().stages().get(0).name();
	}

}
