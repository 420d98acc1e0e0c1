package org.burdocktray.bench.route;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.burdocktray.request.route.MaxFlowRouting;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class ThroughputTests {

	private static final int[] ENTRY_VM_COUNTS = { 1, 9, 40, 320 };

	private static final int MEASURED_SECONDS = 10;

	/** Tokens begun before the window may end in it. */
	private static final double BACKLOG_SHARE = 0.01;

	@ParameterizedTest(name = "{0} with {2} deciders")
	@MethodSource("topologies")
	void maxFlowReachesNinetyPercentOfUpperBound(String name, Topology topology, int deciders) {
		RoutingSnapshot snapshot = RoutingSnapshot.of(topology.bundle());
		double upperBound = snapshot.routes("m").orElseThrow().upperBoundTokensPerSecond();
		double served = measureTokensPerSecond(topology.bundle(), snapshot, deciders);
		assertThat(served / upperBound).isBetween(ThroughputMeasurement.MIN_SHARE_OF_UPPER_BOUND, 1 + BACKLOG_SHARE);
	}

	@ParameterizedTest(name = "{0} with {2} deciders")
	@MethodSource("topologies")
	void maxFlowReachesNinetyPercentOfActualCapacityWhenEnginesAreSlowerThanConfigured(String name, Topology topology,
			int deciders) {
		Bundle actual = DegradedEngines.degrade(topology.bundle());
		double upperBound = RoutingSnapshot.of(actual).routes("m").orElseThrow().upperBoundTokensPerSecond();
		double served = measureTokensPerSecond(actual, RoutingSnapshot.of(topology.bundle()), deciders);
		assertThat(served / upperBound).isBetween(ThroughputMeasurement.MIN_SHARE_OF_UPPER_BOUND, 1 + BACKLOG_SHARE);
	}

	@Test
	void sameSeedYieldsSameThroughput() {
		Topology topology = Topologies.random(6);
		RoutingSnapshot snapshot = RoutingSnapshot.of(topology.bundle());
		assertThat(measureTokensPerSecond(topology.bundle(), snapshot, 9))
			.isEqualTo(measureTokensPerSecond(topology.bundle(), snapshot, 9));
	}

	static Stream<Arguments> topologies() {
		List<Arguments> cases = new ArrayList<>();
		for (Topology topology : ThroughputMeasurement.topologies(true)) {
			for (int deciders : ENTRY_VM_COUNTS) {
				cases.add(Arguments.of(topology.name(), topology, deciders));
			}
		}
		return cases.stream();
	}

	private static double measureTokensPerSecond(Bundle actual, RoutingSnapshot snapshot, int deciders) {
		LoadModelSettings settings = new LoadModelSettings(MaxFlowRouting::new, deciders, 1, 20, MEASURED_SECONDS);
		return new PipelineLoadModel(actual, snapshot, settings).run();
	}

}
