package org.burdocktray.bench.bundle;

import java.io.PrintStream;
import java.util.function.LongFunction;

import org.burdocktray.bench.Measurement;
import org.burdocktray.process.bundle.FollowerSettings;

/**
 * Counts what goes wrong with bundles under faults, with all mechanisms and with each of
 * them off. Thread safety: one thread.
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
		int schedules = (quick) ? QUICK_SEED_COUNT : SEED_COUNT;
		out.println("Seeds 1 to " + schedules + ", 9 VMs, 3 data centres");
		BundleFaultSimulation.Counts all = sumCounts(schedules,
				(seed) -> new BundleFaultSimulation(seed, this.signing, SimulatedFleet.Options.ALL_ENABLED));
		out.println("all mechanisms: " + all);
		out.println("create without condition: " + sumCounts(schedules, this::simulateWithoutCreateCondition));
		SimulatedFleet.Options alone = new SimulatedFleet.Options(FollowerSettings.DEFAULT, false, true);
		out.println("no spread between VMs: "
				+ sumCounts(schedules, (seed) -> new BundleFaultSimulation(seed, this.signing, alone)));
		out.println("Bound: none of reversals, forks, late VMs, wrong answers: "
				+ ((all.hasNoViolations()) ? "held" : "BROKEN"));
		return all.hasNoViolations();
	}

	private BundleFaultSimulation simulateWithoutCreateCondition(long seed) {
		BundleFaultSimulation schedule = new BundleFaultSimulation(seed, this.signing,
				SimulatedFleet.Options.ALL_ENABLED);
		schedule.fleet().store().disableCreateCondition();
		return schedule;
	}

	private static BundleFaultSimulation.Counts sumCounts(int schedules, LongFunction<BundleFaultSimulation> schedule) {
		BundleFaultSimulation.Counts sum = BundleFaultSimulation.Counts.zero();
		for (long seed = 1; seed <= schedules; seed++) {
			sum = sum.plus(schedule.apply(seed).run());
		}
		return sum;
	}

}
