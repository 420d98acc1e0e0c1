package org.burdocktray.process.balance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.routing.FlowNetwork;
import org.burdocktray.version.routing.WeightedChoice;

/**
 * The maximum flow of requests through the engines of one data centre. Nodes are the
 * boundaries between layers; an engine leads from each boundary that it covers to its
 * last layer, and bears a rate that depends on the speed of the paths through it. Where
 * several engines are not fully used, the flow is spread over them evenly. Invariants:
 * each drawn path runs every layer once; the result is deterministic. The first solution
 * of a process runs on its event loop in interpreted code, so it is written without
 * lambdas and hash codes of records, whose linkage takes longer than the solution. Thread
 * safety: immutable.
 */
public final class EngineFlow {

	/** Flows are integers, in thousandths of a request per second. */
	private static final double FLOW_UNITS = 1_000;

	/** The number of utilisations that are considered when the flow is spread. */
	private static final int UTILISATION_STEPS = 8;

	/** Rounding may cost this share of the flow. */
	private static final double ROUNDING = 0.998;

	private final double requestsPerSecond;

	private final int layers;

	/** The engines that run on from a boundary, null where the flow does not pass. */
	private final List<WeightedChoice<WeightedEngine>> choices;

	private EngineFlow(double requestsPerSecond, int layers, List<WeightedChoice<WeightedEngine>> choices) {
		this.requestsPerSecond = requestsPerSecond;
		this.layers = layers;
		this.choices = choices;
	}

	/**
	 * Solves the flow.
	 * @param engines the engines of one data centre
	 * @param times the times of passes of the engines
	 * @param targets the targets of the streams
	 * @return the flow, 0 if the engines do not hold all layers or are too slow
	 */
	static EngineFlow solve(List<FlowEngine> engines, PassTimes times, StreamTargets targets) {
		return new Solver(engines, times, targets).solve();
	}

	/**
	 * Computes only the rate, by the fastest path through each engine.
	 * @param engines the engines of one data centre
	 * @param times the times of passes of the engines
	 * @param targets the targets of the streams
	 * @return requests per second, 0 if the engines do not hold all layers
	 */
	static double estimate(List<FlowEngine> engines, PassTimes times, StreamTargets targets) {
		Solver solver = new Solver(engines, times, targets);
		return solver.solve(solver.capacities(solver.lowestPathFactors())) / FLOW_UNITS;
	}

	/**
	 * Returns the rate of typical requests that the engines bear.
	 * @return requests per second
	 */
	public double requestsPerSecond() {
		return this.requestsPerSecond;
	}

	/**
	 * Draws a path in proportion to the flow.
	 * @param random the source of the draw
	 * @return the engines in the order of their layers, empty if there is no flow
	 */
	Optional<List<Replica>> draw(RandomGenerator random) {
		List<Replica> path = new ArrayList<>();
		int layer = 0;
		while (layer < this.layers) {
			WeightedChoice<WeightedEngine> choice = this.choices.get(layer);
			if (choice == null || choice.isEmpty()) {
				return Optional.empty();
			}
			FlowEngine next = choice.pick(random.nextDouble()).engine();
			path.add(next.engine());
			layer = next.held().to();
		}
		return Optional.of(path);
	}

	/**
	 * The solution of one flow. Thread safety: none.
	 */
	private static final class Solver {

		private final List<FlowEngine> engines;

		private final PassTimes times;

		private final StreamTargets targets;

		private final int layers;

		/** The layers at which some engine ends, and 0. */
		private final boolean[] isBoundary;

		private FlowNetwork network;

		private List<Entry> entries;

		Solver(List<FlowEngine> engines, PassTimes times, StreamTargets targets) {
			this.layers = times.profile().layers();
			this.engines = new ArrayList<>(engines.size());
			for (FlowEngine engine : engines) {
				if (engine.held().to() <= this.layers) {
					this.engines.add(engine);
				}
			}
			this.engines.sort(FlowEngine.BY_ID);
			this.times = times;
			this.targets = targets;
			this.isBoundary = new boolean[this.layers + 1];
			this.isBoundary[0] = true;
			for (FlowEngine engine : this.engines) {
				this.isBoundary[engine.held().to()] = true;
			}
		}

		EngineFlow solve() {
			double[] factors = lowestPathFactors();
			if (isInfinite(factors)) {
				return new EngineFlow(0, this.layers, noChoices());
			}
			solve(capacities(factors));
			long[] capacities = capacities(meanPathFactors(factors));
			long total = solve(capacities);
			spread(capacities, total);
			return new EngineFlow(total / FLOW_UNITS, this.layers, choices());
		}

		private static boolean isInfinite(double[] factors) {
			for (double factor : factors) {
				if (!Double.isInfinite(factor)) {
					return false;
				}
			}
			return true;
		}

		private long solve(long[] capacities) {
			int firstEngineNode = this.layers + 1;
			this.network = new FlowNetwork(firstEngineNode + 2 * this.engines.size());
			this.entries = new ArrayList<>();
			for (int index = 0; index < capacities.length; index++) {
				if (capacities[index] == 0) {
					continue;
				}
				FlowEngine engine = this.engines.get(index);
				int inNode = firstEngineNode + 2 * index;
				for (int layer = engine.held().from(); layer < engine.held().to(); layer++) {
					if (this.isBoundary[layer]) {
						this.entries
							.add(new Entry(index, layer, this.network.addEdge(layer, inNode, FlowNetwork.UNBOUNDED)));
					}
				}
				this.network.addEdge(inNode, inNode + 1, capacities[index]);
				this.network.addEdge(inNode + 1, engine.held().to(), FlowNetwork.UNBOUNDED);
			}
			return this.network.augment(0, this.layers);
		}

		// Lowers the capacities of the engines that do not limit the flow together, as
		// far as the flow stays the same.
		private void spread(long[] capacities, long total) {
			boolean[] isCritical = new boolean[capacities.length];
			for (int index = 0; index < capacities.length; index++) {
				int inNode = this.layers + 1 + 2 * index;
				isCritical[index] = this.network.isOnSourceSide(inNode) && !this.network.isOnSourceSide(inNode + 1);
			}
			int tooLow = 0;
			int feasible = UTILISATION_STEPS;
			while (feasible - tooLow > 1) {
				int middle = (tooLow + feasible) / 2;
				if (solve(limited(capacities, isCritical, middle)) >= ROUNDING * total) {
					feasible = middle;
				}
				else {
					tooLow = middle;
				}
			}
			solve(limited(capacities, isCritical, feasible));
		}

		private static long[] limited(long[] capacities, boolean[] isCritical, int steps) {
			long[] result = capacities.clone();
			for (int index = 0; index < result.length; index++) {
				if (!isCritical[index]) {
					result[index] = result[index] * steps / UTILISATION_STEPS;
				}
			}
			return result;
		}

		private long[] capacities(double[] pathFactors) {
			long[] result = new long[this.engines.size()];
			for (int index = 0; index < result.length; index++) {
				FlowEngine engine = this.engines.get(index);
				double factor = pathFactors[index];
				double kvTokens = this.times.profile().kvTokenLayers(engine.kind(), engine.held().size())
						/ engine.held().size();
				double slots = (engine.held().from() == 0) ? engine.engine().slots() : Double.MAX_VALUE;
				double prefillFactor = factor * engine.kind().prefillFactor() / engine.kind().stepFactor();
				result[index] = Double.isInfinite(factor) ? 0 : (long) (FLOW_UNITS
						* this.times.requestsPerSecond(factor, prefillFactor, kvTokens, slots, this.targets));
			}
			return result;
		}

		// The step factor of the fastest path through each engine.
		private double[] lowestPathFactors() {
			double[] before = new double[this.layers + 1];
			double[] after = new double[this.layers + 1];
			Arrays.fill(before, Double.POSITIVE_INFINITY);
			Arrays.fill(after, Double.POSITIVE_INFINITY);
			before[0] = 0;
			after[this.layers] = 0;
			List<FlowEngine> byEnd = new ArrayList<>(this.engines);
			byEnd.sort(FlowEngine.BY_END);
			for (FlowEngine engine : byEnd) {
				int end = engine.held().to();
				before[end] = Math.min(before[end], factorUpTo(engine, before));
			}
			for (int position = byEnd.size() - 1; position >= 0; position--) {
				FlowEngine engine = byEnd.get(position);
				for (int layer = engine.held().from(); layer < engine.held().to(); layer++) {
					after[layer] = Math.min(after[layer],
							engine.pathFactor(layer, this.layers) + after[engine.held().to()]);
				}
			}
			double[] result = new double[this.engines.size()];
			for (int index = 0; index < result.length; index++) {
				FlowEngine engine = this.engines.get(index);
				result[index] = factorUpTo(engine, before) + after[engine.held().to()];
			}
			return result;
		}

		private double factorUpTo(FlowEngine engine, double[] before) {
			double lowest = Double.POSITIVE_INFINITY;
			for (int layer = engine.held().from(); layer < engine.held().to(); layer++) {
				if (this.isBoundary[layer]) {
					lowest = Math.min(lowest, before[layer] + engine.pathFactor(layer, this.layers));
				}
			}
			return lowest;
		}

		// The mean step factor of the paths through each engine, weighted by the flow
		// that was solved last; the lowest one for engines without flow.
		private double[] meanPathFactors(double[] lowest) {
			double[] before = new double[this.layers + 1];
			double[] after = new double[this.layers + 1];
			double[] inflow = new double[this.layers + 1];
			double[] outflow = new double[this.layers + 1];
			List<Entry> byLayer = new ArrayList<>(this.entries.size());
			for (Entry entry : this.entries) {
				if (this.network.flow(entry.edge()) > 0) {
					byLayer.add(entry);
				}
			}
			byLayer.sort(Entry.BY_LAYER);
			for (Entry entry : byLayer) {
				long flow = this.network.flow(entry.edge());
				FlowEngine engine = this.engines.get(entry.engine());
				int end = engine.held().to();
				double factor = mean(before, inflow, entry.layer()) + engine.pathFactor(entry.layer(), this.layers);
				before[end] += flow * factor;
				inflow[end] += flow;
			}
			double[] result = new double[lowest.length];
			double[] engineFlow = new double[lowest.length];
			for (int position = byLayer.size() - 1; position >= 0; position--) {
				Entry entry = byLayer.get(position);
				long flow = this.network.flow(entry.edge());
				FlowEngine engine = this.engines.get(entry.engine());
				double factor = engine.pathFactor(entry.layer(), this.layers)
						+ mean(after, outflow, engine.held().to());
				after[entry.layer()] += flow * factor;
				outflow[entry.layer()] += flow;
				result[entry.engine()] += flow * (mean(before, inflow, entry.layer()) + factor);
				engineFlow[entry.engine()] += flow;
			}
			for (int index = 0; index < result.length; index++) {
				result[index] = (engineFlow[index] > 0) ? result[index] / engineFlow[index] : lowest[index];
			}
			return result;
		}

		private static double mean(double[] weightedSum, double[] weight, int index) {
			return (weight[index] > 0) ? weightedSum[index] / weight[index] : 0;
		}

		private List<WeightedChoice<WeightedEngine>> choices() {
			List<List<WeightedEngine>> flows = new ArrayList<>(Collections.nCopies(this.layers + 1, null));
			for (Entry entry : this.entries) {
				if (flows.get(entry.layer()) == null) {
					flows.set(entry.layer(), new ArrayList<>());
				}
				flows.get(entry.layer())
					.add(new WeightedEngine(this.engines.get(entry.engine()), this.network.flow(entry.edge())));
			}
			List<WeightedChoice<WeightedEngine>> result = noChoices();
			for (int layer = 0; layer < this.layers; layer++) {
				if (flows.get(layer) != null) {
					result.set(layer, WeightedChoice.of(flows.get(layer), WeightedEngine.FLOW));
				}
			}
			return result;
		}

		private List<WeightedChoice<WeightedEngine>> noChoices() {
			return new ArrayList<>(Collections.nCopies(this.layers + 1, null));
		}

	}

	/**
	 * An engine that runs on from a boundary.
	 *
	 * @param engine the engine
	 * @param flow the flow that enters it there
	 */
	private record WeightedEngine(FlowEngine engine, long flow) {

		private static final ToDoubleFunction<WeightedEngine> FLOW = new ToDoubleFunction<>() {
			@Override
			public double applyAsDouble(WeightedEngine weighted) {
				return weighted.flow();
			}
		};

	}

	/**
	 * The edge by which requests enter an engine at a layer.
	 *
	 * @param engine the index of the engine
	 * @param layer the first layer that the engine runs
	 * @param edge the edge of the network
	 */
	private record Entry(int engine, int layer, int edge) {

		private static final Comparator<Entry> BY_LAYER = new Comparator<>() {
			@Override
			public int compare(Entry first, Entry second) {
				return Integer.compare(first.layer(), second.layer());
			}
		};

	}

}
