package org.burdocktray.version.routing;

import java.util.function.ToLongFunction;

/**
 * Computes a maximum flow of a layer graph that balances the utilisation of the groups:
 * the highest utilisation of a group that does not limit the flow is minimised, then the
 * next highest one, and so on. Thread safety: none, confined to one solver.
 */
final class BalancedFlow {

	private static final int UTILISATION_STEPS = 64;

	private static final int MAX_ROUNDS = 16;

	private final LayerGraph graph;

	private final long[] linkCapacities;

	private final long[] rates;

	private final long[] capacities;

	private final boolean[] isFixed;

	BalancedFlow(LayerGraph graph, ToLongFunction<LinkUse> linkCapacity) {
		this.graph = graph;
		this.linkCapacities = graph.linkUses().stream().mapToLong(linkCapacity).toArray();
		this.rates = graph.groupRates();
		this.capacities = this.rates.clone();
		this.isFixed = new boolean[this.rates.length];
	}

	LayerFlow solve() {
		LayerGraph.Solution solution = this.graph.solve(this.capacities, this.linkCapacities);
		long total = solution.totalMilliTokens();
		for (int round = 0; round < MAX_ROUNDS; round++) {
			int steps = lowestFeasibleSteps(total);
			boolean[] critical = this.graph.minimumCut(solveAt(steps - 1));
			limitVariableGroups(steps);
			if (!fixCritical(critical)) {
				break;
			}
		}
		solution = this.graph.solve(this.capacities, this.linkCapacities);
		return this.graph.flow(solution);
	}

	private int lowestFeasibleSteps(long total) {
		int infeasible = 0;
		int feasible = UTILISATION_STEPS;
		while (feasible - infeasible > 1) {
			int middle = (infeasible + feasible) / 2;
			if (solveAt(middle).totalMilliTokens() >= total) {
				feasible = middle;
			}
			else {
				infeasible = middle;
			}
		}
		return feasible;
	}

	private LayerGraph.Solution solveAt(int steps) {
		return this.graph.solve(limitedCapacities(steps), this.linkCapacities);
	}

	private long[] limitedCapacities(int steps) {
		long[] limited = this.capacities.clone();
		for (int i = 0; i < limited.length; i++) {
			if (!this.isFixed[i]) {
				limited[i] = Math.min(limited[i], this.rates[i] * steps / UTILISATION_STEPS);
			}
		}
		return limited;
	}

	private void limitVariableGroups(int steps) {
		if (steps < UTILISATION_STEPS) {
			System.arraycopy(limitedCapacities(steps), 0, this.capacities, 0, this.capacities.length);
		}
	}

	private boolean fixCritical(boolean[] critical) {
		boolean changed = false;
		for (int i = 0; i < critical.length; i++) {
			if (critical[i] && !this.isFixed[i]) {
				this.isFixed[i] = true;
				changed = true;
			}
		}
		return changed;
	}

}
