package org.burdocktray.bench.admission;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * Retry amplification while upstreams fail, beside three blind retries. Thread safety:
 * stateless.
 */
public final class RetryMeasurement implements Measurement {

	private static final double AMPLIFICATION_BOUND = 1.2;

	private static final double HALF = 0.5;

	private static final List<Double> FAILING = List.of(0.1, HALF, 1.0);

	private static final List<RetrySimulation.FleetSize> SIZES = List.of(new RetrySimulation.FleetSize(1, 36, 10, 500),
			new RetrySimulation.FleetSize(9, 36, 10, 500), new RetrySimulation.FleetSize(40, 200, 80, 700),
			new RetrySimulation.FleetSize(320, 1700, 670, 5500));

	private static final int QUICK_SECONDS = 60;

	private static final int SECONDS = 600;

	private static final long SEED = 20_261_203;

	@Override
	public String name() {
		return "retries";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		boolean held = true;
		out.println("retries | vms failing | policy | attempts/request | served");
		for (RetrySimulation.FleetSize size : SIZES) {
			for (double failing : FAILING) {
				RetrySimulation simulation = new RetrySimulation(size, failing, (quick) ? QUICK_SECONDS : SECONDS,
						SEED);
				double ours = print(out, size.vms(), failing, "budget", simulation.runWithBudgets());
				print(out, size.vms(), failing, "3 blind retries", simulation.runWithBlindRetries());
				boolean inBound = ours <= AMPLIFICATION_BOUND;
				out.println("retries | bound: attempts/request <= 1.2 | " + ((inBound) ? "held" : "BROKEN"));
				held &= inBound;
			}
		}
		return held;
	}

	private static double print(PrintStream out, int vms, double failing, String policy,
			RetrySimulation.Result figures) {
		out.println(String.format(Locale.ROOT, "retries | %d %.1f | %s | %.3f | %.3f", vms, failing, policy,
				figures.attemptsPerRequest(), figures.servedShare()));
		return figures.attemptsPerRequest();
	}

}
