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
 * The platform's stand-in, one engine for each pace and routers, each a process. The jars
 * are named by the system properties {@code slopes.router} and {@code slopes.standins}.
 * Invariant: closing ends every process that was started. Thread safety: none.
 */
final class ProcessFleet implements AutoCloseable {

	static final int LAYERS = 12;

	static final String MODEL_VERSION = "1";

	private static final Pattern ADDRESS = Pattern.compile("\"address\":\"([^\"]+)\"");

	private static final long POLL_MILLIS = 20;

	private static final int MAX_POLLS = 3_000;

	private static final int MAX_STREAMS = 4_096;

	private static final long PLATFORM_TIMEOUT_MILLIS = 10_000;

	private final Path directory;

	private final Deque<MeasuredProcess> processes = new ArrayDeque<>();

	private final Operators operators = new Operators();

	private final List<Engine> engines = new ArrayList<>();

	private final NetworkAddress platform;

	private int routers;

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
	 * Starts the stand-ins and rolls a bundle.
	 * @param size the bundle's size
	 * @param paces the engines that can be asked, beside those of the bundle's size
	 * @return the fleet
	 */
	static ProcessFleet start(SampleFleet size, List<EngineSpec> paces) {
		ProcessFleet fleet = new ProcessFleet();
		try {
			paces.forEach(fleet::startEngine);
			fleet.roll(size);
			return fleet;
		}
		catch (RuntimeException ex) {
			fleet.close();
			throw ex;
		}
	}

	Engine engine(EngineSpec pace) {
		return this.engines.stream().filter((engine) -> engine.model().equals(pace.model())).findFirst().orElseThrow();
	}

	/**
	 * Starts a router and waits until it is ready.
	 * @param javaOptions options of the Java virtual machine
	 * @return the router
	 */
	RunningRouter startRouter(List<String> javaOptions) {
		this.routers++;
		String name = "vm-" + this.routers;
		NetworkAddress callers = freeAddress();
		Path settings = writeSettings(name, callers);
		List<String> command = new ArrayList<>(javaOptions);
		command.add("-Djava.util.logging.manager=org.jboss.logmanager.LogManager");
		command.addAll(List.of("-jar", System.getProperty("slopes.router"), "serve", settings.toString()));
		long startNanos = System.nanoTime();
		MeasuredProcess process = start(name, command);
		ReadyCheck check = new ReadyCheck(callers);
		pollUntil(process, check::isReady);
		return new RunningRouter(process, callers, (System.nanoTime() - startNanos) / 1e9);
	}

	private void startEngine(EngineSpec pace) {
		NetworkAddress address = startStandIn(pace.model(),
				List.of("engine", "--upstream", pace.model(), "--model", pace.model(), "--model-version", MODEL_VERSION,
						"--from-layer", "0", "--to-layer", String.valueOf(LAYERS), "--step-millis",
						String.valueOf(pace.stepMillis()), "--max-streams", String.valueOf(MAX_STREAMS)));
		this.engines.add(new Engine(pace.model(), new DataCentre("dc0"), address, pace.model(), 0, LAYERS, "kind0",
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

	private void roll(SampleFleet size) {
		Vertx vertx = Vertx.vertx();
		HttpPlatformStore store = new HttpPlatformStore(vertx.createHttpClient(), this.platform,
				PLATFORM_TIMEOUT_MILLIS);
		this.operators.roll(store, size.bundle(this.operators.trusted(), this.engines));
		vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private Path writeSettings(String name, NetworkAddress callers) {
		String trusted = this.operators.trusted()
			.stream()
			.map((operator) -> "{\"name\":\"%s\",\"publicKey\":\"%s\"}".formatted(operator.name(),
					operator.publicKey()))
			.collect(Collectors.joining(","));
		String text = """
				{"vmName":"%s","dataCentre":"dc0","callerAddress":"%s","adminAddress":"%s","peerAddress":"%s",
				"platformAddress":"%s","seedPeers":[],"trustedOperators":[%s]}""".formatted(name, callers,
				freeAddress(), freeAddress(), this.platform, trusted);
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
			pauseMillis(POLL_MILLIS);
		}
		throw new IllegalStateException("a process did not start; see " + this.directory);
	}

	static void pauseMillis(long millis) {
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
	 * A model whose engine takes a least time for each step.
	 *
	 * @param model the name of the model and of its engine
	 * @param stepMillis the least time of a step
	 */
	record EngineSpec(String model, long stepMillis) {

	}

	/**
	 * A router that is ready.
	 *
	 * @param process its process
	 * @param callerAddress where callers connect
	 * @param startSeconds the time from its start until it was ready
	 */
	record RunningRouter(MeasuredProcess process, NetworkAddress callerAddress, double startSeconds) {

	}

	/** Something to wait for. */
	@FunctionalInterface
	private interface Condition {

		boolean holds();

	}

}
