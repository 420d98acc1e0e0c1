package org.burdocktray.bench.claim;

import java.io.PrintStream;

import org.burdocktray.bench.Measurement;
import org.burdocktray.process.claim.ClaimParameters;

/**
 * Measures the store calls and the latency of claims, in virtual time. Thread safety:
 * stateless.
 */
public final class ClaimWritesMeasurement implements Measurement {

	private static final int[] CLAIMS_PER_SECOND = { 1, 10, 100, 1_000 };

	private static final int BOUNDED_CLAIMS_PER_SECOND = 1_000;

	private static final double MAX_WRITES_PER_CLAIM = 0.1;

	private static final int SECONDS = 20;

	private static final int QUICK_SECONDS = 5;

	private static final double MICROS_PER_MILLI = 1_000;

	@Override
	public String name() {
		return "claim-writes";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		int seconds = quick ? QUICK_SECONDS : SECONDS;
		ClaimParameters parameters = ClaimParameters.standard();
		out.printf("claim-writes: shards=%d minWriteIntervalMillis=%d seconds=%d%n", parameters.shardCount(),
				parameters.minWriteIntervalMillis(), seconds);
		out.printf("%-17s %8s %8s %8s %13s %10s %12s %12s %10s %10s %10s %s%n", "owners", "claims/s", "granted",
				"refused", "writes/claim", "conflicts", "reads/claim", "B/claim kept", "mean ms", "p95 ms", "max ms",
				"verdict");
		boolean boundHolds = true;
		for (ClaimWriteSimulation.Ownership ownership : ClaimWriteSimulation.Ownership.values()) {
			for (int claimsPerSecond : CLAIMS_PER_SECOND) {
				ClaimWriteSimulation.Result result = ClaimWriteSimulation.simulate(ownership, parameters,
						claimsPerSecond, seconds);
				boundHolds &= print(out, ownership, result);
			}
		}
		return boundHolds;
	}

	private static boolean print(PrintStream out, ClaimWriteSimulation.Ownership ownership,
			ClaimWriteSimulation.Result result) {
		boolean bounded = ownership == ClaimWriteSimulation.Ownership.KNOWN
				&& result.claimsPerSecond() == BOUNDED_CLAIMS_PER_SECOND;
		boolean boundHolds = !bounded || result.writesPerClaim() <= MAX_WRITES_PER_CLAIM;
		out.printf("%-17s %8d %8d %8d %13.3f %10d %12.3f %12.1f %10.1f %10.1f %10.1f %s%n", ownership,
				result.claimsPerSecond(), result.granted(), result.refused(), result.writesPerClaim(),
				result.conflicts(), result.readsPerClaim(), result.storedBytesPerClaim(),
				result.meanWaitMicros() / MICROS_PER_MILLI, result.p95WaitMicros() / MICROS_PER_MILLI,
				result.maxWaitMicros() / MICROS_PER_MILLI, verdict(bounded, boundHolds));
		return boundHolds;
	}

	private static String verdict(boolean bounded, boolean boundHolds) {
		if (!bounded) {
			return "no bound";
		}
		return boundHolds ? "held <= " + MAX_WRITES_PER_CLAIM : "BROKEN <= " + MAX_WRITES_PER_CLAIM;
	}

}
