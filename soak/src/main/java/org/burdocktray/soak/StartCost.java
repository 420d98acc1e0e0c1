package org.burdocktray.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.burdocktray.standins.network.FreePorts;

/**
 * Measures the processor time of the start of gateways and of their idle time, for
 * several builds in turn. Each build is started as its {@code deploy/system.toml} says.
 * Thread safety: runs once per process.
 */
public final class StartCost {

	private static final int DEFAULT_STARTS = 10;

	private static final int DEFAULT_ENGINES = 4;

	private static final long POLL_MILLIS = 5;

	private static final long RETRY_MILLIS = 100;

	private static final long SETTLING_MILLIS = 2_000;

	private static final long IDLE_MILLIS = 10_000;

	private static final int STREAM_ROUNDS = 2;

	private static final int STREAMS_PER_ROUND = 16;

	private static final int OK = 200;

	private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");

	private static final Pattern METRICS_PORT = Pattern.compile("(--metrics-port) \\d+");

	private static final Pattern PEAK_MEMORY = Pattern.compile("VmHWM:\\s+(\\d+) kB");

	private final List<Build> builds = new ArrayList<>();

	private final Callers callers = new Callers();

	private StartCost(List<Path> directories, int engines) throws IOException {
		for (Path directory : directories) {
			this.builds.add(new Build(directory, engines));
		}
	}

	/**
	 * Prints the medians of each build, and the ratios to the first build.
	 * @param arguments the working trees of the builds, whose jars are built
	 * @throws InterruptedException when the run is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		int starts = Integer.getInteger("starts", DEFAULT_STARTS);
		int status = 1;
		try {
			new StartCost(Arrays.stream(arguments).map(Path::of).toList(),
					Integer.getInteger("engines", DEFAULT_ENGINES))
				.run(starts, System.out);
			status = 0;
		}
		catch (IOException ex) {
			System.err.println("start-cost: " + ex.getMessage());
		}
		finally {
			// The stand-ins' threads would keep the process alive.
			System.exit(status);
		}
	}

	private void run(int starts, PrintStream out) throws IOException, InterruptedException {
		// The engines get their layers in the first start, which is not counted.
		for (int start = 0; start <= starts; start++) {
			List<GatewayProcess> gateways = new ArrayList<>();
			try {
				for (int index = 0; index < this.builds.size(); index++) {
					Build build = this.builds.get((index + start) % this.builds.size());
					gateways.add(build.launch());
					build.awaitFirstStream(gateways.get(index), this.callers, start > 0);
				}
				if (start > 0) {
					measureIdle(gateways, start);
					printStart(start, out);
				}
			}
			finally {
				for (GatewayProcess gateway : gateways) {
					gateway.close();
				}
			}
		}
		out.printf("%-34s", "medians of " + starts + " starts");
		this.builds.forEach((build) -> out.printf(" %24s", build.directory.getFileName()));
		out.println();
		for (Phase phase : Phase.values()) {
			out.printf("%-34s", phase.title);
			double first = this.builds.get(0).median(phase);
			for (Build build : this.builds) {
				out.printf("      %10.0f (x %5.3f)", build.median(phase), build.median(phase) / first);
			}
			out.println();
		}
	}

	// A run that is ended early leaves what it has measured.
	private void printStart(int start, PrintStream out) {
		out.printf("start %d:", start);
		for (Phase phase : Phase.values()) {
			out.printf(" %s", this.builds.stream().map((build) -> build.values.get(phase).get(start - 1)).toList());
		}
		out.println();
	}

	private void measureIdle(List<GatewayProcess> gateways, int start) throws IOException, InterruptedException {
		TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
		List<Long> before = gateways.stream().map((gateway) -> gateway.cpuTime().toMillis()).toList();
		TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
		for (int index = 0; index < gateways.size(); index++) {
			GatewayProcess gateway = gateways.get(index);
			Build build = this.builds.get((index + start) % this.builds.size());
			build.record(Phase.IDLE, gateway.cpuTime().toMillis() - before.get(index));
		}
		before = gateways.stream().map((gateway) -> gateway.cpuTime().toMillis()).toList();
		runStreams(gateways);
		for (int index = 0; index < gateways.size(); index++) {
			GatewayProcess gateway = gateways.get(index);
			Build build = this.builds.get((index + start) % this.builds.size());
			build.record(Phase.STREAMS, gateway.cpuTime().toMillis() - before.get(index));
			build.record(Phase.MEMORY, peakMemoryKilobytes(gateway.pid()));
		}
	}

	private void runStreams(List<GatewayProcess> gateways) {
		for (int round = 0; round < STREAM_ROUNDS; round++) {
			List<CompletableFuture<Call>> calls = new ArrayList<>();
			for (GatewayProcess gateway : gateways) {
				for (int stream = 0; stream < STREAMS_PER_ROUND; stream++) {
					calls.add(this.callers.send(gateway.callerAddress(), Call.Kind.DRAFT, SoakPlatform.KEY));
				}
			}
			calls.forEach(CompletableFuture::join);
		}
	}

	private static long peakMemoryKilobytes(long pid) throws IOException {
		Matcher matcher = PEAK_MEMORY.matcher(Files.readString(Path.of("/proc", String.valueOf(pid), "status")));
		return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
	}

	/** What is measured of a start. */
	private enum Phase {

		LISTENS("until it listens, ms"), HAS_RULES("until it has rules, ms"),
		FIRST_STREAM("until its first stream, ms"), IDLE("idle for 10 s, ms"),
		STREAMS("next 32 streams of 40 events, ms"), MEMORY("peak resident memory, kB");

		private final String title;

		Phase(String title) {
			this.title = title;
		}

	}

	/**
	 * A build with the stand-ins of its own. Thread safety: confined to the main thread.
	 */
	private static final class Build {

		private final Path directory;

		private final Path logs = Files.createTempDirectory("start-cost-");

		private final SoakPlatform platform = new SoakPlatform();

		private final Map<Phase, List<Long>> values = new EnumMap<>(Phase.class);

		Build(Path directory, int engines) throws IOException {
			this.directory = directory.toAbsolutePath().normalize();
			for (int index = DEFAULT_ENGINES; index < engines; index++) {
				this.platform.addEngine();
			}
		}

		GatewayProcess launch() throws IOException {
			return new GatewayProcess("vm-0", this.logs, command(), this.directory, this.platform.store.address());
		}

		void awaitFirstStream(GatewayProcess gateway, Callers callers, boolean isCounted)
				throws IOException, InterruptedException {
			long listens = awaitLine(gateway, "Gateway listens");
			long hasRules = awaitLine(gateway, "Rules in force");
			while (callers.send(gateway.callerAddress(), Call.Kind.DRAFT, SoakPlatform.KEY).join().status() != OK) {
				this.platform.publishEngineEntries();
				TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
			}
			if (isCounted) {
				record(Phase.LISTENS, listens);
				record(Phase.HAS_RULES, hasRules);
				record(Phase.FIRST_STREAM, gateway.cpuTime().toMillis());
			}
		}

		private static long awaitLine(GatewayProcess gateway, String line) throws IOException, InterruptedException {
			while (!Files.readString(gateway.logFile()).contains(line)) {
				if (!gateway.isAlive()) {
					throw new IOException("the gateway has ended, see " + gateway.logFile());
				}
				TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
			}
			return gateway.cpuTime().toMillis();
		}

		private List<String> command() throws IOException {
			Matcher run = RUN_LINE.matcher(Files.readString(this.directory.resolve("deploy/system.toml")));
			if (!run.find()) {
				throw new IOException("no line starts a program: " + this.directory.resolve("deploy/system.toml"));
			}
			return List.of(METRICS_PORT.matcher(run.group(1)).replaceFirst("$1 " + FreePorts.take()).split(" "));
		}

		void record(Phase phase, long value) {
			this.values.computeIfAbsent(phase, (key) -> new ArrayList<>()).add(value);
		}

		double median(Phase phase) {
			List<Long> sorted = this.values.get(phase).stream().sorted().toList();
			return (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2.0;
		}

	}

}
