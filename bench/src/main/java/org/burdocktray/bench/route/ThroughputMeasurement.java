package org.burdocktray.bench.route;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import org.burdocktray.bench.Measurement;
import org.burdocktray.request.route.LeastInFlightRouting;
import org.burdocktray.request.route.MaxFlowRouting;
import org.burdocktray.request.route.RoundRobinRouting;
import org.burdocktray.request.route.RoutingPolicy;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Model;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Measures the saturated throughput of routing policies relative to the max-flow upper
 * bound, on several topologies and with several numbers of entry VMs. Thread safety:
 * stateless.
 */
public final class ThroughputMeasurement implements Measurement {

	/** Minimum share of the upper bound that max-flow routing has to reach. */
	static final double MIN_SHARE_OF_UPPER_BOUND = 0.90;

	private static final int[] ENTRY_VM_COUNTS = { 1, 9, 40, 320 };

	private static final long[] RANDOM_SEEDS = { 1, 2, 3, 4, 5 };

	private static final long TARGET_SEED = 1;

	private static final int TARGET_ENTRY_VM_COUNT = 320;

	private static final int TARGET_MEASURED_SECONDS = 5;

	private static final long RUN_SEED = 20260101;

	private static final int WARM_UP_SECONDS = 20;

	private static final int MEASURED_SECONDS = 60;

	private static final int QUICK_MEASURED_SECONDS = 15;

	private final String name;

	private final UnaryOperator<Bundle> toActualBundle;

	private ThroughputMeasurement(String name, UnaryOperator<Bundle> toActualBundle) {
		this.name = name;
		this.toActualBundle = toActualBundle;
	}

	/**
	 * Returns the measurement with engines that reach the rates in the bundle.
	 * @return the measurement
	 */
	public static ThroughputMeasurement nominal() {
		return new ThroughputMeasurement("route-throughput", UnaryOperator.identity());
	}

	/**
	 * Returns the measurement in which every fourth engine reaches only 0.6 of its rate
	 * in the bundle. The upper bound follows from the actual rates, which are not
	 * available to the policies.
	 * @return the measurement
	 */
	public static ThroughputMeasurement degraded() {
		return new ThroughputMeasurement("route-degraded", DegradedEngines::degrade);
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		List<ThroughputRow> rows = new ArrayList<>();
		out.println(this.name + ": saturated tokens/s over the max-flow upper bound; bound for max-flow: >= "
				+ MIN_SHARE_OF_UPPER_BOUND);
		out.println(ThroughputRow.HEADER);
		for (Topology topology : topologies(quick)) {
			for (int entryVmCount : ENTRY_VM_COUNTS) {
				ThroughputRow row = measure(topology, entryVmCount,
						(quick) ? QUICK_MEASURED_SECONDS : MEASURED_SECONDS);
				out.println(row.format());
				rows.add(row);
			}
		}
		if (!quick) {
			ThroughputRow row = measure(Topologies.targetSize(TARGET_SEED), TARGET_ENTRY_VM_COUNT,
					TARGET_MEASURED_SECONDS);
			out.println(row.format());
			rows.add(row);
		}
		return rows.stream().allMatch(ThroughputRow::isWithinBound);
	}

	static List<Topology> topologies(boolean quick) {
		List<Topology> topologies = new ArrayList<>(Topologies.fixed());
		int randomCount = (quick) ? 1 : RANDOM_SEEDS.length;
		for (int i = 0; i < randomCount; i++) {
			topologies.add(Topologies.random(RANDOM_SEEDS[i]));
		}
		return topologies;
	}

	private ThroughputRow measure(Topology topology, int entryVmCount, int measuredSeconds) {
		RoutingSnapshot snapshot = RoutingSnapshot.of(topology.bundle());
		RoutingSnapshot actualSnapshot = RoutingSnapshot.of(this.toActualBundle.apply(topology.bundle()));
		double upperBound = 0;
		double flow = 0;
		for (Model model : topology.bundle().models()) {
			upperBound += actualSnapshot.routes(model.name()).orElseThrow().upperBoundTokensPerSecond();
			flow += actualSnapshot.routes(model.name()).orElseThrow().tokensPerSecond();
		}
		return new ThroughputRow(topology.name(), topology.seed(), entryVmCount, upperBound, flow,
				measureTokensPerSecond(topology, snapshot, MaxFlowRouting::new, entryVmCount, measuredSeconds),
				measureTokensPerSecond(topology, snapshot, RoundRobinRouting::new, entryVmCount, measuredSeconds),
				measureTokensPerSecond(topology, snapshot, LeastInFlightRouting::new, entryVmCount, measuredSeconds));
	}

	private double measureTokensPerSecond(Topology topology, RoutingSnapshot snapshot, Supplier<RoutingPolicy> policies,
			int entryVmCount, int measuredSeconds) {
		LoadModelSettings settings = new LoadModelSettings(policies, entryVmCount, RUN_SEED, WARM_UP_SECONDS,
				measuredSeconds);
		return new PipelineLoadModel(this.toActualBundle.apply(topology.bundle()), snapshot, settings).run();
	}

	/**
	 * One row of the table. Thread safety: immutable.
	 *
	 * @param topology the name of the topology
	 * @param seed the seed of the topology; 0 for a fixed topology
	 * @param entryVmCount the number of entry VMs
	 * @param upperBound the upper bound in tokens per second
	 * @param flow the flow that the route weights achieve, in tokens per second
	 * @param maxFlow the throughput of max-flow routing in tokens per second
	 * @param roundRobin the throughput of round-robin routing in tokens per second
	 * @param leastInFlight the throughput of least-in-flight routing in tokens per second
	 */
	record ThroughputRow(String topology, long seed, int entryVmCount, double upperBound, double flow, double maxFlow,
			double roundRobin, double leastInFlight) {

		static final String HEADER = String.format("%-14s %5s %8s %9s %10s %9s %11s %15s %s", "topology", "seed",
				"deciders", "bound/s", "flow/bound", "max-flow", "round-robin", "least-in-flight", "verdict");

		boolean isWithinBound() {
			return this.maxFlow >= MIN_SHARE_OF_UPPER_BOUND * this.upperBound;
		}

		String format() {
			return String.format(Locale.ROOT, "%-14s %5d %8d %9.0f %10.3f %9.3f %11.3f %15.3f %s", this.topology,
					this.seed, this.entryVmCount, this.upperBound, this.flow / this.upperBound,
					this.maxFlow / this.upperBound, this.roundRobin / this.upperBound,
					this.leastInFlight / this.upperBound, (isWithinBound()) ? "held" : "BROKEN");
		}

	}

}
