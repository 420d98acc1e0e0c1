package org.burdocktray.bench.recovery;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * Measures the pause that callers see when a stage of their pipeline fails or becomes
 * unresponsive, compared with a restart of the complete request. Thread safety: none.
 */
public final class RecoveryMeasurement implements Measurement {

	private static final double MAX_P95_SECONDS = 2;

	private static final double P95 = 0.95;

	private static final int REPLACEMENT_ENGINE_COUNT = 16;

	private static final double PREFILL_TOKENS_PER_SECOND = 20_000;

	private static final double LINK_BYTES_PER_SECOND = 1.25e9;

	private static final double SLOW_LINK_BYTES_PER_SECOND = 1.25e8;

	private static final int SINGLE_STREAM_SEED_COUNT = 200;

	private static final int QUICK_SINGLE_STREAM_SEED_COUNT = 40;

	private static final int SEED_COUNT = 20;

	private static final int QUICK_SEED_COUNT = 2;

	@Override
	public String name() {
		return "recovery";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		out.println("pause seen by the caller, in s; 30 ms a token, 3 stages, prompts of 50 to 2,000 tokens");
		out.println("assumed: prefill rate of a stage, link rate, 16,384 B an activation, engines to replace one");
		out.printf(Locale.ROOT, "%-8s %7s %12s %10s %12s %-18s %6s %6s %6s %6s%n", "failure", "streams", "replacements",
				"prefill/s", "link MB/s", "recovery", "p50", "p95", "max", "wrong");
		boolean boundHolds = true;
		for (RecoveryScenario.Failure failure : RecoveryScenario.Failure.values()) {
			for (int streams : new int[] { 1, 50, 400 }) {
				boundHolds &= isWithinBound(out, quick, failure, streams);
			}
		}
		out.printf(Locale.ROOT, "bound: p95 at most %.0f s and below a restart, no wrong token: %s%n", MAX_P95_SECONDS,
				boundHolds ? "holds" : "BROKEN");
		if (!quick) {
			compareOtherAssumptions(out);
		}
		return boundHolds;
	}

	static boolean isWithinBound(PrintStream out, boolean quick, RecoveryScenario.Failure failure, int streams) {
		return compare(out, quick, true, createScenario(streams, failure, REPLACEMENT_ENGINE_COUNT,
				PREFILL_TOKENS_PER_SECOND, LINK_BYTES_PER_SECOND));
	}

	private static void compareOtherAssumptions(PrintStream out) {
		out.println("other assumptions, not bound:");
		RecoveryScenario.Failure freezes = RecoveryScenario.Failure.FREEZES;
		for (int streams : new int[] { 1, 50, 400 }) {
			compare(out, false, false, createScenario(streams, freezes, REPLACEMENT_ENGINE_COUNT,
					PREFILL_TOKENS_PER_SECOND / 4, LINK_BYTES_PER_SECOND));
			compare(out, false, false, createScenario(streams, freezes, REPLACEMENT_ENGINE_COUNT,
					PREFILL_TOKENS_PER_SECOND * 2, LINK_BYTES_PER_SECOND));
			compare(out, false, false, createScenario(streams, freezes, REPLACEMENT_ENGINE_COUNT,
					PREFILL_TOKENS_PER_SECOND, SLOW_LINK_BYTES_PER_SECOND));
			compare(out, false, false, createScenario(streams, freezes, REPLACEMENT_ENGINE_COUNT / 4,
					PREFILL_TOKENS_PER_SECOND, LINK_BYTES_PER_SECOND));
		}
	}

	private static RecoveryScenario createScenario(int streams, RecoveryScenario.Failure failure, int replacements,
			double prefillTokensPerSecond, double linkBytesPerSecond) {
		return new RecoveryScenario(0, streams, failure, RecoveryScenario.Recovery.REPLACE_ONE_STAGE, replacements,
				prefillTokensPerSecond, linkBytesPerSecond);
	}

	private static boolean compare(PrintStream out, boolean quick, boolean isBounded, RecoveryScenario base) {
		StreamPauses replacement = measure(out, quick, base, RecoveryScenario.Recovery.REPLACE_ONE_STAGE);
		StreamPauses restart = measure(out, quick, base, RecoveryScenario.Recovery.RESTART);
		boolean isBelowRestart = replacement.quantile(P95) < restart.quantile(P95);
		return !isBounded
				|| (replacement.quantile(P95) <= MAX_P95_SECONDS && isBelowRestart && replacement.wrongTokens() == 0);
	}

	private static StreamPauses measure(PrintStream out, boolean quick, RecoveryScenario base,
			RecoveryScenario.Recovery recovery) {
		int seeds = quick ? QUICK_SEED_COUNT : SEED_COUNT;
		if (base.streamCount() == 1) {
			seeds = quick ? QUICK_SINGLE_STREAM_SEED_COUNT : SINGLE_STREAM_SEED_COUNT;
		}
		List<Double> seconds = new ArrayList<>();
		int wrongTokens = 0;
		for (long seed = 1; seed <= seeds; seed++) {
			StreamPauses pauses = new RecoveryRun(new RecoveryScenario(seed, base.streamCount(), base.failure(),
					recovery, base.replacementCount(), base.prefillTokensPerSecond(), base.linkBytesPerSecond()))
				.run();
			for (double pauseSeconds : pauses.sortedPauseSeconds()) {
				seconds.add(pauseSeconds);
			}
			wrongTokens += pauses.wrongTokens();
		}
		StreamPauses allPauses = new StreamPauses(seconds.stream().mapToDouble(Double::doubleValue).toArray(),
				wrongTokens);
		out.printf(Locale.ROOT, "%-8s %7d %12d %10.0f %12.0f %-18s %6.2f %6.2f %6.2f %6d%n",
				base.failure().name().toLowerCase(Locale.ROOT), base.streamCount(), base.replacementCount(),
				base.prefillTokensPerSecond(), base.linkBytesPerSecond() / 1e6,
				recovery.name().toLowerCase(Locale.ROOT).replace('_', '-'), allPauses.quantile(0.5),
				allPauses.quantile(P95), allPauses.quantile(1), wrongTokens);
		return allPauses;
	}

}
