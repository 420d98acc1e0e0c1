package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * The latency that a router adds to the first and to the last token, against calling the
 * engine without a router, in turns. The engine takes a least time for each step, so that
 * a later token isn't held up by an earlier one. Figures differ between runs; there is no
 * bound. Thread safety: none.
 */
final class LatencyMeasurement implements Measurement {

	private static final ProcessFleet.EngineSpec STEPPED = new ProcessFleet.EngineSpec("stepped", 5);

	private static final SampleFleet SIZE = new SampleFleet(350, 12, 100);

	private static final int MAX_TOKENS = 64;

	private static final int WARM_UPS = 60;

	private static final int PAIRS = 100;

	@Override
	public String name() {
		return "latency";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		String options = System.getProperty("slopes.javaOptions", "");
		out.println("Java options of the router: " + (options.isEmpty() ? "none" : options));
		try (ProcessFleet fleet = ProcessFleet.start(SIZE, List.of(STEPPED));
				StreamCaller caller = new StreamCaller()) {
			ProcessFleet.RunningRouter router = fleet
				.startRouter(options.isEmpty() ? List.of() : List.of(options.split(" ")));
			measure(out, fleet, router, caller);
		}
		return true;
	}

	private static void measure(PrintStream out, ProcessFleet fleet, ProcessFleet.RunningRouter router,
			StreamCaller caller) {
		List<Double> firstMicros = new ArrayList<>();
		List<Double> lastMicros = new ArrayList<>();
		int tokens = 0;
		for (int pair = -WARM_UPS; pair < PAIRS; pair++) {
			StreamCaller.StreamResult direct = StreamCaller
				.await(caller.callEngine(fleet.engine(STEPPED), "direct-" + pair, MAX_TOKENS, "same"));
			StreamCaller.StreamResult routed = StreamCaller
				.await(caller.callRouter(router.callerAddress(), STEPPED.model(), MAX_TOKENS, "same"));
			if (pair >= 0) {
				tokens = direct.tokens();
				firstMicros.add((routed.firstTokenNanos() - direct.firstTokenNanos()) / 1e3);
				lastMicros.add((routed.elapsedNanos() - direct.elapsedNanos()) / 1e3);
			}
		}
		out.printf(Locale.ROOT,
				"added, median of %d pairs, one stream, steps of %d ms: first token %.0f µs, end after %d tokens %.0f µs%n",
				PAIRS, STEPPED.stepMillis(), Series.median(firstMicros), tokens, Series.median(lastMicros));
	}

}
