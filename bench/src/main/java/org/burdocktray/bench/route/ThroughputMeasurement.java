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
 * Measures the saturated throughput of routing policies over the upper bound of the
 * maximum flow, on several topologies and with several numbers of deciding nodes. Thread
 * safety: stateless.
 */
public final class ThroughputMeasurement implements Measurement {

	/** The least share of the upper bound that is served. */
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

	private ThroughputMeasurement(String name, UnaryOperator<Bundle> actual) {
		this.name = name;
		this.toActualBundle = actual;
	}

	/**
	 * Measures with engines that reach the rates of the bundle.
	 * @return the measurement
	 */
	public static ThroughputMeasurement nominal() {
		return new ThroughputMeasurement("route-throughput", UnaryOperator.identity());
	}

	/**
	 * Measures while every fourth engine reaches only 0.6 of its rate in the bundle. The
	 * upper bound is that of the actual rates, which the policies don't know.
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
			for (int deciders : ENTRY_VM_COUNTS) {
				ThroughputRow row = measure(topology, deciders, (quick) ? QUICK_MEASURED_SECONDS : MEASURED_SECONDS);
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
		int randoms = (quick) ? 1 : RANDOM_SEEDS.length;
		for (int i = 0; i < randoms; i++) {
			topologies.add(Topologies.random(RANDOM_SEEDS[i]));
		}
		return topologies;
	}

	private ThroughputRow measure(Topology topology, int deciders, int measuredSeconds) {
		RoutingSnapshot snapshot = RoutingSnapshot.of(topology.bundle());
		RoutingSnapshot attainable = RoutingSnapshot.of(this.toActualBundle.apply(topology.bundle()));
		double upperBound = 0;
		double flow = 0;
		for (Model model : topology.bundle().models()) {
			upperBound += attainable.routes(model.name()).orElseThrow().upperBoundTokensPerSecond();
			flow += attainable.routes(model.name()).orElseThrow().tokensPerSecond();
		}
		return new ThroughputRow(topology.name(), topology.seed(), deciders, upperBound, flow,
				measureTokensPerSecond(topology, snapshot, MaxFlowRouting::new, deciders, measuredSeconds),
				measureTokensPerSecond(topology, snapshot, RoundRobinRouting::new, deciders, measuredSeconds),
				measureTokensPerSecond(topology, snapshot, LeastInFlightRouting::new, deciders, measuredSeconds));
	}

	private double measureTokensPerSecond(Topology topology, RoutingSnapshot snapshot, Supplier<RoutingPolicy> policies,
			int deciders, int measuredSeconds) {
		LoadModelSettings settings = new LoadModelSettings(policies, deciders, RUN_SEED, WARM_UP_SECONDS,
				measuredSeconds);
		return new PipelineLoadModel(this.toActualBundle.apply(topology.bundle()), snapshot, settings).run();
	}

	/**
	 * One row of the table. Thread safety: immutable.
	 *
	 * @param topology the name of the topology
	 * @param seed the seed the topology was drawn with
	 * @param entryVmCount the number of deciding nodes
	 * @param upperBound the upper bound in tokens a second
	 * @param flow the flow of the weights in tokens a second
	 * @param maxFlow what max-flow routing served in tokens a second
	 * @param roundRobin the same for round robin
	 * @param leastInFlight the same for least in flight
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
