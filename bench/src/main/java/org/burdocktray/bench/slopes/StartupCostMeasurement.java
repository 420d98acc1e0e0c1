package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * Measures the cost of a router before the first request: the time until it is ready,
 * memory, and processor time and bytes while idle, for three bundle sizes and several
 * sets of options of the Java virtual machine. Results vary between runs, so no bound is
 * checked. Thread safety: none.
 */
final class StartupCostMeasurement implements Measurement {

	private static final ProcessFleet.EngineSpec ENGINE = new ProcessFleet.EngineSpec("idle", 0);

	private static final List<SampleFleet> BUNDLE_SIZES = SampleFleet.sizes();

	private static final String SMALL_FOOTPRINT_OPTIONS = "-XX:+UseSerialGC -XX:ActiveProcessorCount=2 -Xss256k ";

	private static final List<String> OPTION_SETS = List.of("", "-XX:+UseSerialGC", "-XX:ActiveProcessorCount=2",
			"-XX:TieredStopAtLevel=1", SMALL_FOOTPRINT_OPTIONS + "-Xmx64m",
			SMALL_FOOTPRINT_OPTIONS + "-Xmx64m -XX:TieredStopAtLevel=1",
			SMALL_FOOTPRINT_OPTIONS + "-Xmx32m -XX:TieredStopAtLevel=1");

	private static final int STARTS_PER_SIZE = 5;

	private static final int STARTS_PER_OPTION_SET = 3;

	private static final long SETTLE_MILLIS = 40_000;

	private static final long IDLE_MILLIS = 20_000;

	@Override
	public String name() {
		return "start";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		Deque<ProcessFleet> fleets = new ArrayDeque<>();
		try {
			List<IdleRouter> routers = new ArrayList<>();
			for (SampleFleet size : BUNDLE_SIZES) {
				fleets.push(ProcessFleet.start(size, List.of(ENGINE)));
				routers.add(startRouters(fleets.peek(), size, "", (quick) ? 1 : STARTS_PER_SIZE));
			}
			for (String options : OPTION_SETS) {
				SampleFleet targetSize = BUNDLE_SIZES.get(BUNDLE_SIZES.size() - 1);
				routers.add(startRouters(fleets.peek(), targetSize, options, (quick) ? 1 : STARTS_PER_OPTION_SET));
			}
			ProcessFleet.sleepMillis(SETTLE_MILLIS);
			List<ResourceUsage.Snapshot> snapshots = routers.stream()
				.map((router) -> ResourceUsage.takeSnapshot(router.process()))
				.toList();
			ProcessFleet.sleepMillis(IDLE_MILLIS);
			List<ResourceUsage> usages = snapshots.stream().map(ResourceUsage.Snapshot::usageUntilNow).toList();
			printHeader(out);
			for (int index = 0; index < routers.size(); index++) {
				routers.get(index).print(out, usages.get(index));
			}
			return true;
		}
		finally {
			fleets.forEach(ProcessFleet::close);
		}
	}

	private static void printHeader(PrintStream out) {
		out.println("| replicas, organisations | Java options | starts | ready s, median | resident MB idle "
				+ "| live heap MB | idle core share | idle bytes/s |");
		out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
	}

	private static IdleRouter startRouters(ProcessFleet fleet, SampleFleet size, String options, int starts) {
		List<String> javaOptions = options.isEmpty() ? List.of() : List.of(options.split(" "));
		List<Double> readySeconds = new ArrayList<>();
		for (int start = 1; start < starts; start++) {
			ProcessFleet.RunningRouter router = fleet.startRouter(javaOptions);
			readySeconds.add(router.startSeconds());
			router.process().close();
		}
		ProcessFleet.RunningRouter router = fleet.startRouter(javaOptions);
		readySeconds.add(router.startSeconds());
		return new IdleRouter(size, options, readySeconds, router.process());
	}

	/**
	 * A router that receives no requests.
	 *
	 * @param size the size of its bundle
	 * @param options the options of its Java virtual machine
	 * @param readySeconds the times from the start of the process until the router was
	 * ready
	 * @param process the process of the router that is still running
	 */
	private record IdleRouter(SampleFleet size, String options, List<Double> readySeconds, MeasuredProcess process) {

		void print(PrintStream out, ResourceUsage usage) {
			double residentMegabytes = this.process.residentBytes() / 1e6;
			out.printf(Locale.ROOT, "| %d, %d | %s | %d | %.2f | %.0f | %.1f | %.4f | %.0f |%n", this.size.replicas(),
					this.size.organisations(), this.options.isEmpty() ? "none" : "`" + this.options + "`",
					this.readySeconds.size(), Series.median(this.readySeconds), residentMegabytes,
					this.process.liveHeapBytes() / 1e6, usage.coreShare(), usage.bytesPerSecond());
		}

	}

}
