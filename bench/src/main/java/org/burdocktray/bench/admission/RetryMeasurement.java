package org.burdocktray.bench.admission;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * Measures the retry amplification of retry budgets while upstreams fail, compared with
 * three unconditional retries. Thread safety: stateless.
 */
public final class RetryMeasurement implements Measurement {

	private static final double MAX_ATTEMPTS_PER_REQUEST = 1.2;

	private static final double HALF = 0.5;

	private static final List<Double> FAILING_SHARES = List.of(0.1, HALF, 1.0);

	private static final List<RetrySimulation.FleetSize> FLEET_SIZES = List.of(
			new RetrySimulation.FleetSize(1, 36, 10, 500), new RetrySimulation.FleetSize(9, 36, 10, 500),
			new RetrySimulation.FleetSize(40, 200, 80, 700), new RetrySimulation.FleetSize(320, 1700, 670, 5500));

	private static final int QUICK_DURATION_SECONDS = 60;

	private static final int DURATION_SECONDS = 600;

	private static final long SEED = 20_261_203;

	@Override
	public String name() {
		return "retries";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		boolean withinBounds = true;
		out.println("retries | vms failing | policy | attempts/request | served");
		for (RetrySimulation.FleetSize size : FLEET_SIZES) {
			for (double failingShare : FAILING_SHARES) {
				RetrySimulation simulation = new RetrySimulation(size, failingShare,
						(quick) ? QUICK_DURATION_SECONDS : DURATION_SECONDS, SEED);
				double attemptsPerRequest = print(out, size.vms(), failingShare, "budget", simulation.runWithBudgets());
				print(out, size.vms(), failingShare, "3 blind retries", simulation.runWithBlindRetries());
				boolean withinBound = attemptsPerRequest <= MAX_ATTEMPTS_PER_REQUEST;
				out.println("retries | bound: attempts/request <= 1.2 | " + ((withinBound) ? "held" : "BROKEN"));
				withinBounds &= withinBound;
			}
		}
		return withinBounds;
	}

	private static double print(PrintStream out, int vms, double failingShare, String policy,
			RetrySimulation.Result result) {
		out.println(String.format(Locale.ROOT, "retries | %d %.1f | %s | %.3f | %.3f", vms, failingShare, policy,
				result.attemptsPerRequest(), result.servedShare()));
		return result.attemptsPerRequest();
	}

}
