package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * Measures the cost of requests in a router process: processor time and bytes by tokens
 * per request, processor time by token rate, and memory by open streams. Options of the
 * router's Java virtual machine come from the system property {@code slopes.javaOptions}.
 * Results vary between runs, so no bound is checked. Thread safety: none.
 */
final class RequestCostMeasurement implements Measurement {

	private static final ProcessFleet.EngineSpec PACED_ENGINE = new ProcessFleet.EngineSpec("paced", 50);

	private static final ProcessFleet.EngineSpec SLOW_ENGINE = new ProcessFleet.EngineSpec("slow", 3_000);

	private static final SampleFleet BUNDLE_SIZE = new SampleFleet(350, 12, 100);

	private static final int[] MAX_TOKEN_COUNTS = { 1, 8, 64 };

	private static final int[] STREAM_COUNTS = { 10, 50, 200 };

	private static final int[] OPEN_STREAM_COUNTS = { 0, 200, 500, 1_000 };

	private static final int FIXED_STREAMS = 50;

	private static final int FIXED_TOKENS = 64;

	private static final long WARM_UP_MILLIS = 10_000;

	private static final long RAMP_MILLIS = 4_000;

	private static final long MEASURED_MILLIS = 10_000;

	@Override
	public String name() {
		return "requests";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		String options = System.getProperty("slopes.javaOptions", "");
		out.println("Java options of the router: " + (options.isEmpty() ? "none" : options));
		try (ProcessFleet fleet = ProcessFleet.start(BUNDLE_SIZE, List.of(PACED_ENGINE, SLOW_ENGINE));
				StreamCaller caller = new StreamCaller()) {
			ProcessFleet.RunningRouter router = fleet
				.startRouter(options.isEmpty() ? List.of() : List.of(options.split(" ")));
			warmUp(router, caller);
			double idleCoreShare = ResourceUsage.during(router.process(), MEASURED_MILLIS).coreShare();
			out.printf(Locale.ROOT, "idle core share after the warm-up, taken off below: %.4f; resident MB: %.0f%n",
					idleCoreShare, router.process().residentBytes() / 1e6);
			measureByTokens(out, router, caller, idleCoreShare);
			measureByStreams(out, router, caller, idleCoreShare);
			measureOpenStreams(out, router);
		}
		return true;
	}

	// Warms up every size, since the first samples would otherwise include JIT
	// compilation.
	private static void warmUp(ProcessFleet.RunningRouter router, StreamCaller caller) {
		for (int tokens : MAX_TOKEN_COUNTS) {
			try (ClosedLoop loop = new ClosedLoop(caller, router.callerAddress(), PACED_ENGINE.model(), tokens)) {
				loop.start(STREAM_COUNTS[STREAM_COUNTS.length - 1]);
				ProcessFleet.sleepMillis(WARM_UP_MILLIS);
			}
			ProcessFleet.sleepMillis(RAMP_MILLIS);
		}
	}

	private static void measureByTokens(PrintStream out, ProcessFleet.RunningRouter router, StreamCaller caller,
			double idleCoreShare) {
		Series processor = new Series("processor time a request, by its tokens, 50 streams", "µs", "token");
		Series bytes = new Series("bytes in and out a request, by its tokens, 50 streams", "bytes", "token");
		for (int tokens : MAX_TOKEN_COUNTS) {
			Sample sample = measureSample(router, caller, FIXED_STREAMS, tokens, idleCoreShare);
			processor.add(sample.tokensPerRequest(), sample.processorMicrosPerRequest());
			bytes.add(sample.tokensPerRequest(), sample.bytesPerRequest());
			out.println(sample);
		}
		Series.printHeader(out);
		processor.print(out);
		bytes.print(out);
	}

	private static void measureByStreams(PrintStream out, ProcessFleet.RunningRouter router, StreamCaller caller,
			double idleCoreShare) {
		Series processor = new Series("cores, by tokens a second at 10, 50 and 200 streams", "cores", "token/s");
		for (int streams : STREAM_COUNTS) {
			Sample sample = measureSample(router, caller, streams, FIXED_TOKENS, idleCoreShare);
			processor.add(sample.tokensPerSecond(), sample.cores());
			out.println(sample);
		}
		Series.printHeader(out);
		processor.print(out);
	}

	private static Sample measureSample(ProcessFleet.RunningRouter router, StreamCaller caller, int streams,
			int maxTokens, double idleCoreShare) {
		try (ClosedLoop loop = new ClosedLoop(caller, router.callerAddress(), PACED_ENGINE.model(), maxTokens)
			.start(streams)) {
			ProcessFleet.sleepMillis(RAMP_MILLIS);
			long requests = loop.requests();
			long tokens = loop.tokens();
			ResourceUsage usage = ResourceUsage.during(router.process(), MEASURED_MILLIS);
			return new Sample(streams, loop.requests() - requests, loop.tokens() - tokens, loop.failures(), usage,
					usage.coreShare() - idleCoreShare);
		}
		finally {
			ProcessFleet.sleepMillis(RAMP_MILLIS);
		}
	}

	private static void measureOpenStreams(PrintStream out, ProcessFleet.RunningRouter router) {
		Series resident = new Series("resident memory, by open streams", "MB", "stream");
		Series heap = new Series("heap after a full collection, by open streams", "MB", "stream");
		try (StreamCaller slowCaller = new StreamCaller();
				ClosedLoop loop = new ClosedLoop(slowCaller, router.callerAddress(), SLOW_ENGINE.model(),
						FIXED_TOKENS)) {
			int openStreams = 0;
			for (int streams : OPEN_STREAM_COUNTS) {
				loop.start(streams - openStreams);
				openStreams = streams;
				ProcessFleet.sleepMillis(2 * SLOW_ENGINE.stepMillis());
				heap.add(streams, router.process().liveHeapBytes() / 1e6);
				resident.add(streams, router.process().residentBytes() / 1e6);
			}
			out.printf("open streams that failed: %d%n", loop.failures());
		}
		Series.printHeader(out);
		resident.print(out);
		heap.print(out);
	}

	/**
	 * A router's resource usage under closed-loop load.
	 *
	 * @param streams the number of concurrent streams
	 * @param requests the requests completed in the interval
	 * @param tokens the tokens of these requests
	 * @param failures the requests that failed since the start of the load
	 * @param usage the resource usage of the process in the interval
	 * @param cores the cores in use, without those of the idle process
	 */
	private record Sample(int streams, long requests, long tokens, long failures, ResourceUsage usage, double cores) {

		double tokensPerRequest() {
			return this.tokens / (double) this.requests;
		}

		double tokensPerSecond() {
			return this.tokens / this.usage.seconds();
		}

		double processorMicrosPerRequest() {
			return this.cores * this.usage.seconds() * 1e6 / this.requests;
		}

		double bytesPerRequest() {
			return this.usage.bytes() / (double) this.requests;
		}

		@Override
		public String toString() {
			return String.format(Locale.ROOT,
					"streams %d: %.1f requests/s, %.0f tokens/s, %.3f cores, %.0f bytes/s, %d failed", this.streams,
					this.requests / this.usage.seconds(), tokensPerSecond(), this.cores, this.usage.bytesPerSecond(),
					this.failures);
		}

	}

}
