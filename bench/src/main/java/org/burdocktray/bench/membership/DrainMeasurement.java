package org.burdocktray.bench.membership;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Optional;

import org.burdocktray.bench.Measurement;

/**
 * Measures how long VMs send new work to an upstream that is leaving, with gossip between
 * the VMs and without. Thread safety: none.
 */
public final class DrainMeasurement implements Measurement {

	private static final double MAX_DELAY_SECONDS = 3;

	private static final int SEEDS = 20;

	private static final int QUICK_SEEDS = 3;

	private static final long HEAL_NEVER_MILLIS = 1_000_000_000_000L;

	private static final long RUN_AFTER_LEAVING_MILLIS = 30_000;

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
		boolean withinBound = true;
		for (int vms : quick ? new int[] { 9 } : new int[] { 9, 40, 320 }) {
			for (DrainScenario.FirstIndication indication : DrainScenario.FirstIndication.values()) {
				measure(out, vms, indication, seeds, false);
				withinBound &= measure(out, vms, indication, seeds, true) <= MAX_DELAY_SECONDS;
			}
		}
		out.printf(Locale.ROOT, "bound: %.0f s after the first sign, with gossip: %s%n", MAX_DELAY_SECONDS,
				withinBound ? "holds" : "BROKEN");
		return withinBound;
	}

	private static double measure(PrintStream out, int vms, DrainScenario.FirstIndication indication, int seeds,
			boolean gossip) {
		double afterIndicationSeconds = 0;
		double afterLeavingSeconds = 0;
		// Two seeds suffice for a large fleet: each run takes long and yields as many
		// observations as several runs of a small fleet.
		int runs = (vms > 100) ? Math.min(seeds, 2) : seeds;
		for (long seed = 1; seed <= runs; seed++) {
			DrainSession session = new DrainSession(
					new DrainScenario(seed, vms, indication, Optional.empty(), HEAL_NEVER_MILLIS, gossip));
			session.run(RUN_AFTER_LEAVING_MILLIS);
			afterIndicationSeconds = Math.max(afterIndicationSeconds,
					session.maxStartDelayAfterIndicationNanos() / 1e9);
			afterLeavingSeconds = Math.max(afterLeavingSeconds, session.maxStartDelayAfterLeavingNanos() / 1e9);
		}
		out.printf(Locale.ROOT, "%6d %-12s %-7s %18.2f %18.2f%n", vms, indication.name().toLowerCase(Locale.ROOT),
				gossip ? "yes" : "no", afterIndicationSeconds, afterLeavingSeconds);
		return afterIndicationSeconds;
	}

}
