package org.burdocktray.bench.slopes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.HttpPlatformStore;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Engine;

/**
 * Runs the platform's stand-in, one engine stand-in per {@link EngineSpec} and routers,
 * each in a separate process on loopback. The system properties {@code slopes.router} and
 * {@code slopes.standins} name the jars. Invariant: closing terminates every process that
 * was started. Thread safety: none.
 */
final class ProcessFleet implements AutoCloseable {

	static final int LAYERS = 12;

	static final String MODEL_VERSION = "1";

	private static final Pattern ADDRESS = Pattern.compile("\"address\":\"([^\"]+)\"");

	private static final long POLL_INTERVAL_MILLIS = 20;

	private static final int MAX_POLLS = 3_000;

	private static final int MAX_STREAMS = 4_096;

	private static final long PLATFORM_TIMEOUT_MILLIS = 10_000;

	private final Path directory;

	private final Deque<MeasuredProcess> processes = new ArrayDeque<>();

	private final Operators operators = new Operators();

	private final List<Engine> engines = new ArrayList<>();

	private final NetworkAddress platform;

	private int startedRouters;

	private ProcessFleet() {
		try {
			this.directory = Files.createTempDirectory("slopes");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.platform = startStandIn("platform", List.of("platform"));
	}

	/**
	 * Starts the stand-ins and rolls out a bundle.
	 * @param size the size of the bundle
	 * @param engineSpecs the engines to run; the other engines of the bundle are not
	 * reachable
	 * @return the fleet
	 */
	static ProcessFleet start(SampleFleet size, List<EngineSpec> engineSpecs) {
		ProcessFleet fleet = new ProcessFleet();
		try {
			engineSpecs.forEach(fleet::startEngine);
			fleet.rollBundle(size);
			return fleet;
		}
		catch (RuntimeException ex) {
			fleet.close();
			throw ex;
		}
	}

	Engine engine(EngineSpec spec) {
		return this.engines.stream().filter((engine) -> engine.model().equals(spec.model())).findFirst().orElseThrow();
	}

	/**
	 * Starts a router process and waits until it is ready.
	 * @param javaOptions the options of its Java virtual machine
	 * @return the router
	 */
	RunningRouter startRouter(List<String> javaOptions) {
		this.startedRouters++;
		String name = "vm-" + this.startedRouters;
		NetworkAddress callerAddress = freeAddress();
		Path settings = writeSettings(name, callerAddress);
		List<String> command = new ArrayList<>(javaOptions);
		command.add("-Djava.util.logging.manager=org.jboss.logmanager.LogManager");
		command.addAll(List.of("-jar", System.getProperty("slopes.router"), "serve", settings.toString()));
		long startNanos = System.nanoTime();
		MeasuredProcess process = start(name, command);
		ReadyCheck check = new ReadyCheck(callerAddress);
		pollUntil(process, check::isReady);
		return new RunningRouter(process, callerAddress, (System.nanoTime() - startNanos) / 1e9);
	}

	private void startEngine(EngineSpec spec) {
		NetworkAddress address = startStandIn(spec.model(),
				List.of("engine", "--upstream", spec.model(), "--model", spec.model(), "--model-version", MODEL_VERSION,
						"--from-layer", "0", "--to-layer", String.valueOf(LAYERS), "--step-millis",
						String.valueOf(spec.stepMillis()), "--max-streams", String.valueOf(MAX_STREAMS)));
		this.engines.add(new Engine(spec.model(), new DataCentre("dc0"), address, spec.model(), 0, LAYERS, "kind0",
				100_000, MAX_STREAMS, List.of(), true));
	}

	private NetworkAddress startStandIn(String name, List<String> arguments) {
		List<String> command = new ArrayList<>(List.of("-jar", System.getProperty("slopes.standins")));
		command.addAll(arguments);
		command.addAll(List.of("--port", "0"));
		MeasuredProcess process = start(name, command);
		Path output = this.directory.resolve(name + ".out");
		pollUntil(process, () -> ADDRESS.matcher(readText(output)).find());
		Matcher matcher = ADDRESS.matcher(readText(output));
		if (!matcher.find()) {
			throw new IllegalStateException(name + " printed no address");
		}
		return NetworkAddress.parse(matcher.group(1)).get();
	}

	private MeasuredProcess start(String name, List<String> command) {
		MeasuredProcess process = new MeasuredProcess(command, this.directory.resolve(name + ".out"),
				this.directory.resolve(name + ".err"));
		this.processes.push(process);
		return process;
	}

	private void rollBundle(SampleFleet size) {
		Vertx vertx = Vertx.vertx();
		HttpPlatformStore store = new HttpPlatformStore(vertx.createHttpClient(), this.platform,
				PLATFORM_TIMEOUT_MILLIS);
		this.operators.roll(store, size.bundle(this.operators.trustedOperators(), this.engines));
		vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private Path writeSettings(String name, NetworkAddress callerAddress) {
		String trustedJson = this.operators.trustedOperators()
			.stream()
			.map((operator) -> "{\"name\":\"%s\",\"publicKey\":\"%s\"}".formatted(operator.name(),
					operator.publicKey()))
			.collect(Collectors.joining(","));
		String text = """
				{"vmName":"%s","dataCentre":"dc0","callerAddress":"%s","adminAddress":"%s","peerAddress":"%s",
				"platformAddress":"%s","seedPeers":[],"trustedOperators":[%s]}""".formatted(name, callerAddress,
				freeAddress(), freeAddress(), this.platform, trustedJson);
		try {
			return Files.writeString(this.directory.resolve(name + ".json"), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void pollUntil(MeasuredProcess process, Condition condition) {
		for (int poll = 0; poll < MAX_POLLS && process.isAlive(); poll++) {
			if (condition.holds()) {
				return;
			}
			sleepMillis(POLL_INTERVAL_MILLIS);
		}
		throw new IllegalStateException("A process did not start; its output is in " + this.directory);
	}

	static void sleepMillis(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String readText(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static NetworkAddress freeAddress() {
		try (ServerSocket socket = new ServerSocket(0)) {
			return new NetworkAddress("127.0.0.1", socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		this.processes.forEach(MeasuredProcess::close);
	}

	/**
	 * Describes an engine stand-in that is the only engine of its model.
	 *
	 * @param model the name of the model and of its engine
	 * @param stepMillis the minimum duration of a step
	 */
	record EngineSpec(String model, long stepMillis) {

	}

	/**
	 * A router that is ready.
	 *
	 * @param process the process of the router
	 * @param callerAddress the address for callers
	 * @param startSeconds the time from the start of the process until it was ready
	 */
	record RunningRouter(MeasuredProcess process, NetworkAddress callerAddress, double startSeconds) {

	}

	/** A condition that is polled until it holds. */
	@FunctionalInterface
	private interface Condition {

		boolean holds();

	}

}
