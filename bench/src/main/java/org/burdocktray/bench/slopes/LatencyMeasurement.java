package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * Measures the latency that a router adds to the first and to the last token. Requests go
 * alternately through the router and directly to the engine. The engine has a minimum
 * step duration, so that a token is not delayed by the preceding one. Results vary
 * between runs, so no bound is checked. Thread safety: none.
 */
final class LatencyMeasurement implements Measurement {

	private static final ProcessFleet.EngineSpec ENGINE = new ProcessFleet.EngineSpec("stepped", 5);

	private static final SampleFleet BUNDLE_SIZE = new SampleFleet(350, 12, 100);

	private static final int MAX_TOKENS = 64;

	private static final int WARM_UP_PAIRS = 60;

	private static final int PAIRS = 100;

	@Override
	public String name() {
		return "latency";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		String options = System.getProperty("slopes.javaOptions", "");
		out.println("Java options of the router: " + (options.isEmpty() ? "none" : options));
		try (ProcessFleet fleet = ProcessFleet.start(BUNDLE_SIZE, List.of(ENGINE));
				StreamCaller caller = new StreamCaller()) {
			ProcessFleet.RunningRouter router = fleet
				.startRouter(options.isEmpty() ? List.of() : List.of(options.split(" ")));
			measure(out, fleet, router, caller);
		}
		return true;
	}

	private static void measure(PrintStream out, ProcessFleet fleet, ProcessFleet.RunningRouter router,
			StreamCaller caller) {
		List<Double> addedFirstTokenMicros = new ArrayList<>();
		List<Double> addedLastTokenMicros = new ArrayList<>();
		int tokens = 0;
		for (int pair = -WARM_UP_PAIRS; pair < PAIRS; pair++) {
			StreamCaller.StreamResult direct = StreamCaller
				.await(caller.callEngine(fleet.engine(ENGINE), "direct-" + pair, MAX_TOKENS, "same"));
			StreamCaller.StreamResult routed = StreamCaller
				.await(caller.callRouter(router.callerAddress(), ENGINE.model(), MAX_TOKENS, "same"));
			if (pair >= 0) {
				tokens = direct.tokens();
				addedFirstTokenMicros.add((routed.firstTokenNanos() - direct.firstTokenNanos()) / 1e3);
				addedLastTokenMicros.add((routed.elapsedNanos() - direct.elapsedNanos()) / 1e3);
			}
		}
		out.printf(Locale.ROOT,
				"added, median of %d pairs, one stream, steps of %d ms: first token %.0f µs, end after %d tokens %.0f µs%n",
				PAIRS, ENGINE.stepMillis(), Series.median(addedFirstTokenMicros), tokens,
				Series.median(addedLastTokenMicros));
	}

}
