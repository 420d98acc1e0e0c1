package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

import org.burdocktray.bench.Measurement;

/**
 * What a router costs before the first request: time to ready, memory, and processor time
 * and bytes while idle, at three sizes of the bundle and under options of the Java
 * virtual machine. Figures differ between runs; there is no bound. Thread safety: none.
 */
final class StartupCostMeasurement implements Measurement {

	private static final ProcessFleet.EngineSpec ENGINE = new ProcessFleet.EngineSpec("idle", 0);

	private static final List<SampleFleet> SIZES = SampleFleet.sizes();

	private static final String SMALL_VM = "-XX:+UseSerialGC -XX:ActiveProcessorCount=2 -Xss256k ";

	private static final List<String> OPTIONS = List.of("", "-XX:+UseSerialGC", "-XX:ActiveProcessorCount=2",
			"-XX:TieredStopAtLevel=1", SMALL_VM + "-Xmx64m", SMALL_VM + "-Xmx64m -XX:TieredStopAtLevel=1",
			SMALL_VM + "-Xmx32m -XX:TieredStopAtLevel=1");

	private static final int STARTS = 5;

	private static final int OPTION_STARTS = 3;

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
			for (SampleFleet size : SIZES) {
				fleets.push(ProcessFleet.start(size, List.of(ENGINE)));
				routers.add(start(fleets.peek(), size, "", (quick) ? 1 : STARTS));
			}
			for (String options : OPTIONS) {
				SampleFleet target = SIZES.get(SIZES.size() - 1);
				routers.add(start(fleets.peek(), target, options, (quick) ? 1 : OPTION_STARTS));
			}
			ProcessFleet.pauseMillis(SETTLE_MILLIS);
			List<ResourceUsage.Snapshot> idle = routers.stream()
				.map((router) -> ResourceUsage.takeSnapshot(router.process()))
				.toList();
			ProcessFleet.pauseMillis(IDLE_MILLIS);
			List<ResourceUsage> usages = idle.stream().map(ResourceUsage.Snapshot::usageUntilNow).toList();
			printHead(out);
			for (int index = 0; index < routers.size(); index++) {
				routers.get(index).print(out, usages.get(index));
			}
			return true;
		}
		finally {
			fleets.forEach(ProcessFleet::close);
		}
	}

	private static void printHead(PrintStream out) {
		out.println("| replicas, organisations | Java options | starts | ready s, median | resident MB idle "
				+ "| live heap MB | idle core share | idle bytes/s |");
		out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
	}

	private static IdleRouter start(ProcessFleet fleet, SampleFleet size, String options, int starts) {
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
	 * A router that gets no requests.
	 *
	 * @param size the size of its bundle
	 * @param options its Java options
	 * @param readySeconds the times from start to ready
	 * @param process its process
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
