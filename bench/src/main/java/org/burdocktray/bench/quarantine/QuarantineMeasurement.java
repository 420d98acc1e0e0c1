package org.burdocktray.bench.quarantine;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * Measures how many upstreams one crashing request crashes and how many other requests
 * are refused, compared with a fleet without the quarantine. Thread safety: none.
 */
public final class QuarantineMeasurement implements Measurement {

	private static final int MAX_LOST_UPSTREAMS = 2;

	private static final int SEED_COUNT = 50;

	private static final int QUICK_SEED_COUNT = 20;

	private static final int VM_COUNT = 9;

	private static final int UPSTREAM_COUNT = 35;

	private static final int MAX_RESENDS = 20;

	private static final List<Case> CASES = List.of(new Case("1 request", 1, 0, 0),
			new Case("3 requests within 5 s", 3, 0, 0), new Case("8 upstreams, other reason, one by one", 0, 8, 1),
			new Case("8 upstreams, other reason, 4 at a time", 0, 8, 4),
			new Case("2 requests, 8 upstreams 2 at a time", 2, 8, 2));

	@Override
	public String name() {
		return "quarantine";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		int seeds = quick ? QUICK_SEED_COUNT : SEED_COUNT;
		out.printf(Locale.ROOT, "%d VMs, %d upstreams, seeds 1 to %d, %d repetitions by the caller, 60 s each%n",
				VM_COUNT, UPSTREAM_COUNT, seeds, MAX_RESENDS);
		out.printf(Locale.ROOT, "%-44s %-10s %10s %10s %12s %12s%n", "what crashes", "quarantine", "lost mean",
				"lost max", "in crashes", "refused");
		boolean boundHolds = true;
		for (Case crashCase : CASES) {
			for (boolean quarantineEnabled : new boolean[] { false, true }) {
				int maxLost = measure(out, crashCase, seeds, quarantineEnabled);
				boundHolds &= !quarantineEnabled || maxLost <= MAX_LOST_UPSTREAMS;
			}
		}
		out.printf(Locale.ROOT, "bound: at most %d upstreams lost per crashing request with the quarantine: %s%n",
				MAX_LOST_UPSTREAMS, boundHolds ? "holds" : "BROKEN");
		return boundHolds;
	}

	private static int measure(PrintStream out, Case crashCase, int seeds, boolean quarantineEnabled) {
		List<CrashOutcome> outcomes = new ArrayList<>();
		for (long seed = 1; seed <= seeds; seed++) {
			outcomes.add(new CrashSession(
					new CrashScenario(seed, VM_COUNT, UPSTREAM_COUNT, crashCase.crashingRequestCount(), MAX_RESENDS,
							crashCase.unrelatedCrashes(), crashCase.simultaneousCrashes(), quarantineEnabled))
				.run());
		}
		int maxLost = outcomes.stream().mapToInt(CrashOutcome::maxLostPerCrashingRequest).max().orElse(0);
		double meanLost = outcomes.stream().mapToInt(CrashOutcome::maxLostPerCrashingRequest).average().orElse(0);
		long inCrashes = outcomes.stream().mapToLong(CrashOutcome::normalAffectedByCrash).sum();
		long refused = outcomes.stream().mapToLong(CrashOutcome::normalRefused).sum();
		out.printf(Locale.ROOT, "%-44s %-10s %10.2f %10d %12d %12d%n", crashCase.label(),
				quarantineEnabled ? "yes" : "no", meanLost, maxLost, inCrashes, refused);
		return maxLost;
	}

	private record Case(String label, int crashingRequestCount, int unrelatedCrashes, int simultaneousCrashes) {

	}

}
