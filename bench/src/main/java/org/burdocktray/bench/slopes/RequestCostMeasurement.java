package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * What requests cost a router process: processor time and bytes by requests, by tokens
 * and by streams at a time, and memory by open streams. Options of the router's Java
 * virtual machine come from the system property {@code slopes.javaOptions}. Figures
 * differ between runs; there is no bound. Thread safety: none.
 */
final class RequestCostMeasurement implements Measurement {

	private static final ProcessFleet.EngineSpec PACED = new ProcessFleet.EngineSpec("paced", 50);

	private static final ProcessFleet.EngineSpec SLOW = new ProcessFleet.EngineSpec("slow", 3_000);

	private static final SampleFleet SIZE = new SampleFleet(350, 12, 100);

	private static final int[] TOKENS = { 1, 8, 64 };

	private static final int[] STREAMS = { 10, 50, 200 };

	private static final int[] OPEN_STREAMS = { 0, 200, 500, 1_000 };

	private static final int FIXED_STREAMS = 50;

	private static final int FIXED_TOKENS = 64;

	private static final long WARM_UP_MILLIS = 10_000;

	private static final long RAMP_MILLIS = 4_000;

	private static final long MEASURE_MILLIS = 10_000;

	@Override
	public String name() {
		return "requests";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		String options = System.getProperty("slopes.javaOptions", "");
		out.println("Java options of the router: " + (options.isEmpty() ? "none" : options));
		try (ProcessFleet fleet = ProcessFleet.start(SIZE, List.of(PACED, SLOW));
				StreamCaller caller = new StreamCaller()) {
			ProcessFleet.RunningRouter router = fleet
				.startRouter(options.isEmpty() ? List.of() : List.of(options.split(" ")));
			warmUp(router, caller);
			double idleShare = ResourceUsage.during(router.process(), MEASURE_MILLIS).coreShare();
			out.printf(Locale.ROOT, "idle core share after the warm-up, taken off below: %.4f; resident MB: %.0f%n",
					idleShare, router.process().residentBytes() / 1e6);
			byTokens(out, router, caller, idleShare);
			byStreams(out, router, caller, idleShare);
			openStreams(out, router);
		}
		return true;
	}

	// Every size is warmed up: the first samples would else hold the time of compiling.
	private static void warmUp(ProcessFleet.RunningRouter router, StreamCaller caller) {
		for (int tokens : TOKENS) {
			try (ClosedLoop loop = new ClosedLoop(caller, router.callerAddress(), PACED.model(), tokens)) {
				loop.start(STREAMS[STREAMS.length - 1]);
				ProcessFleet.pauseMillis(WARM_UP_MILLIS);
			}
			ProcessFleet.pauseMillis(RAMP_MILLIS);
		}
	}

	private static void byTokens(PrintStream out, ProcessFleet.RunningRouter router, StreamCaller caller,
			double idleShare) {
		Series processor = new Series("processor time a request, by its tokens, 50 streams", "µs", "token");
		Series bytes = new Series("bytes in and out a request, by its tokens, 50 streams", "bytes", "token");
		for (int tokens : TOKENS) {
			Sample sample = sample(router, caller, FIXED_STREAMS, tokens, idleShare);
			processor.add(sample.tokensPerRequest(), sample.processorMicrosPerRequest());
			bytes.add(sample.tokensPerRequest(), sample.bytesPerRequest());
			out.println(sample);
		}
		Series.printHeader(out);
		processor.print(out);
		bytes.print(out);
	}

	private static void byStreams(PrintStream out, ProcessFleet.RunningRouter router, StreamCaller caller,
			double idleShare) {
		Series processor = new Series("cores, by tokens a second at 10, 50 and 200 streams", "cores", "token/s");
		for (int streams : STREAMS) {
			Sample sample = sample(router, caller, streams, FIXED_TOKENS, idleShare);
			processor.add(sample.tokensPerSecond(), sample.cores());
			out.println(sample);
		}
		Series.printHeader(out);
		processor.print(out);
	}

	private static Sample sample(ProcessFleet.RunningRouter router, StreamCaller caller, int streams, int maxTokens,
			double idleShare) {
		try (ClosedLoop loop = new ClosedLoop(caller, router.callerAddress(), PACED.model(), maxTokens)
			.start(streams)) {
			ProcessFleet.pauseMillis(RAMP_MILLIS);
			long requests = loop.requests();
			long tokens = loop.tokens();
			ResourceUsage usage = ResourceUsage.during(router.process(), MEASURE_MILLIS);
			return new Sample(streams, loop.requests() - requests, loop.tokens() - tokens, loop.failures(), usage,
					usage.coreShare() - idleShare);
		}
		finally {
			ProcessFleet.pauseMillis(RAMP_MILLIS);
		}
	}

	private static void openStreams(PrintStream out, ProcessFleet.RunningRouter router) {
		Series resident = new Series("resident memory, by open streams", "MB", "stream");
		Series heap = new Series("heap after a full collection, by open streams", "MB", "stream");
		try (StreamCaller slowCaller = new StreamCaller();
				ClosedLoop loop = new ClosedLoop(slowCaller, router.callerAddress(), SLOW.model(), FIXED_TOKENS)) {
			int open = 0;
			for (int streams : OPEN_STREAMS) {
				loop.start(streams - open);
				open = streams;
				ProcessFleet.pauseMillis(2 * SLOW.stepMillis());
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
	 * What a router used under a closed loop.
	 *
	 * @param streams the streams at a time
	 * @param requests the requests that ended
	 * @param tokens the tokens of these
	 * @param failures requests that failed
	 * @param usage what the process used
	 * @param cores its processor time a second without that of the idle process
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
