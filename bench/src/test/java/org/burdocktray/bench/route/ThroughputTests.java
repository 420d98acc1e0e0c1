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

	/** Tokens that started before the measured window may end in it. */
	private static final double BACKLOG_TOLERANCE = 0.01;

	@ParameterizedTest(name = "{0} with {2} entry VMs")
	@MethodSource("topologies")
	void maxFlowReachesNinetyPercentOfUpperBound(String name, Topology topology, int entryVmCount) {
		RoutingSnapshot snapshot = RoutingSnapshot.of(topology.bundle());
		double upperBound = snapshot.routes("m").orElseThrow().upperBoundTokensPerSecond();
		double tokensPerSecond = measureTokensPerSecond(topology.bundle(), snapshot, entryVmCount);
		assertThat(tokensPerSecond / upperBound).isBetween(ThroughputMeasurement.MIN_SHARE_OF_UPPER_BOUND,
				1 + BACKLOG_TOLERANCE);
	}

	@ParameterizedTest(name = "{0} with {2} entry VMs")
	@MethodSource("topologies")
	void maxFlowReachesNinetyPercentOfActualCapacityWhenEnginesAreSlowerThanConfigured(String name, Topology topology,
			int entryVmCount) {
		Bundle actual = DegradedEngines.degrade(topology.bundle());
		double upperBound = RoutingSnapshot.of(actual).routes("m").orElseThrow().upperBoundTokensPerSecond();
		double tokensPerSecond = measureTokensPerSecond(actual, RoutingSnapshot.of(topology.bundle()), entryVmCount);
		assertThat(tokensPerSecond / upperBound).isBetween(ThroughputMeasurement.MIN_SHARE_OF_UPPER_BOUND,
				1 + BACKLOG_TOLERANCE);
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
			for (int entryVmCount : ENTRY_VM_COUNTS) {
				cases.add(Arguments.of(topology.name(), topology, entryVmCount));
			}
		}
		return cases.stream();
	}

	private static double measureTokensPerSecond(Bundle actual, RoutingSnapshot snapshot, int entryVmCount) {
		LoadModelSettings settings = new LoadModelSettings(MaxFlowRouting::new, entryVmCount, 1, 20, MEASURED_SECONDS);
		return new PipelineLoadModel(actual, snapshot, settings).run();
	}

}
