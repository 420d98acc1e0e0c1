package org.burdocktray.bench.bundle;

import java.io.PrintStream;
import java.util.function.LongFunction;

import org.burdocktray.bench.Measurement;
import org.burdocktray.process.bundle.FollowerSettings;

/**
 * Counts violations of the guarantees for bundles under faults, with all mechanisms
 * enabled and with one of them disabled at a time. Thread safety: one thread.
 */
public final class BundleFaultsMeasurement implements Measurement {

	private static final int SEED_COUNT = 1_000;

	private static final int QUICK_SEED_COUNT = 100;

	private final SigningFixture signing = new SigningFixture();

	@Override
	public String name() {
		return "bundle-faults";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		int seeds = (quick) ? QUICK_SEED_COUNT : SEED_COUNT;
		out.println("Seeds 1 to " + seeds + ", 9 VMs, 3 data centres");
		BundleFaultSimulation.Counts allEnabled = sumCounts(seeds,
				(seed) -> new BundleFaultSimulation(seed, this.signing, SimulatedFleet.Options.ALL_ENABLED));
		out.println("all mechanisms: " + allEnabled);
		out.println("create without condition: " + sumCounts(seeds, this::simulateWithoutCreateCondition));
		SimulatedFleet.Options withoutPeerPropagation = new SimulatedFleet.Options(FollowerSettings.DEFAULT, false,
				true);
		out.println("no spread between VMs: "
				+ sumCounts(seeds, (seed) -> new BundleFaultSimulation(seed, this.signing, withoutPeerPropagation)));
		out.println("Bound: none of reversals, forks, late VMs, wrong answers: "
				+ ((allEnabled.hasNoViolations()) ? "held" : "BROKEN"));
		return allEnabled.hasNoViolations();
	}

	private BundleFaultSimulation simulateWithoutCreateCondition(long seed) {
		BundleFaultSimulation simulation = new BundleFaultSimulation(seed, this.signing,
				SimulatedFleet.Options.ALL_ENABLED);
		simulation.fleet().store().disableCreateCondition();
		return simulation;
	}

	private static BundleFaultSimulation.Counts sumCounts(int seeds, LongFunction<BundleFaultSimulation> simulation) {
		BundleFaultSimulation.Counts sum = BundleFaultSimulation.Counts.zero();
		for (long seed = 1; seed <= seeds; seed++) {
			sum = sum.plus(simulation.apply(seed).run());
		}
		return sum;
	}

}
