package org.burdocktray.bench.membership;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Optional;

import org.burdocktray.bench.Measurement;

/**
 * Measures how long new work goes to an upstream that is leaving, beside VMs that do not
 * tell each other. Thread safety: none.
 */
public final class DrainMeasurement implements Measurement {

	private static final double MAX_SECONDS = 3;

	private static final int SEEDS = 20;

	private static final int QUICK_SEEDS = 3;

	private static final long NEVER_MILLIS = 1_000_000_000_000L;

	private static final long RUN_MILLIS = 30_000;

	@Override
	public String name() {
		return "drain";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		int seeds = quick ? QUICK_SEEDS : SEEDS;
		out.printf(Locale.ROOT,
				"seeds 1 to %d, 1 and 2 for 320 VMs; longest time over all VMs and seeds until the last new work, in s%n",
				seeds);
		out.printf(Locale.ROOT, "%6s %-12s %-7s %18s %18s%n", "VMs", "first sign", "gossip", "after first sign",
				"after leaving");
		boolean holds = true;
		for (int vms : quick ? new int[] { 9 } : new int[] { 9, 40, 320 }) {
			for (DrainScenario.FirstIndication sign : DrainScenario.FirstIndication.values()) {
				measure(out, vms, sign, seeds, false);
				holds &= measure(out, vms, sign, seeds, true) <= MAX_SECONDS;
			}
		}
		out.printf(Locale.ROOT, "bound: %.0f s after the first sign, with gossip: %s%n", MAX_SECONDS,
				holds ? "holds" : "BROKEN");
		return holds;
	}

	private static double measure(PrintStream out, int vms, DrainScenario.FirstIndication sign, int seeds,
			boolean gossip) {
		double afterSign = 0;
		double afterLeaving = 0;
		// A run of many VMs takes long, and holds as many observations as several small
		// ones.
		int runs = (vms > 100) ? Math.min(seeds, 2) : seeds;
		for (long seed = 1; seed <= runs; seed++) {
			DrainSession session = new DrainSession(
					new DrainScenario(seed, vms, sign, Optional.empty(), NEVER_MILLIS, gossip));
			session.run(RUN_MILLIS);
			afterSign = Math.max(afterSign, session.maxStartDelayAfterIndicationNanos() / 1e9);
			afterLeaving = Math.max(afterLeaving, session.maxStartDelayAfterLeavingNanos() / 1e9);
		}
		out.printf(Locale.ROOT, "%6d %-12s %-7s %18.2f %18.2f%n", vms, sign.name().toLowerCase(Locale.ROOT),
				gossip ? "yes" : "no", afterSign, afterLeaving);
		return afterSign;
	}

}
