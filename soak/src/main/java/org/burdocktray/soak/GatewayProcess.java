package org.burdocktray.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.network.FreePorts;

/**
 * A gateway in its own process, which is restarted at the same addresses. Thread safety:
 * confined to the thread that injects the faults, except that any thread may read the
 * addresses.
 */
final class GatewayProcess implements AutoCloseable {

	private static final List<String> JVM_OPTIONS = List.of("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC",
			"-XX:TieredStopAtLevel=1");

	private static final long ROTATION_EXIT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final String name;

	private final Path directory;

	private final List<String> command;

	private final Path workingDirectory;

	private final int callerPort = FreePorts.take();

	private final int readinessPort = FreePorts.take();

	private Process process;

	private boolean paused;

	private boolean stopping;

	private long stopNanos;

	private int startCount;

	GatewayProcess(String name, Path directory, Path jar, String storeAddress) throws IOException {
		this(name, directory, command(jar), Path.of("."), storeAddress);
	}

	/**
	 * Starts a gateway.
	 * @param name the name of the VM
	 * @param directory the directory for its settings and its logs
	 * @param command the command that starts it, with the options of the Java virtual
	 * machine
	 * @param workingDirectory the directory in which the command runs
	 * @param storeAddress the address of the store
	 */
	GatewayProcess(String name, Path directory, List<String> command, Path workingDirectory, String storeAddress)
			throws IOException {
		this.name = name;
		this.directory = directory;
		this.command = command;
		this.workingDirectory = workingDirectory;
		Files.writeString(settingsFile(), settings(storeAddress));
		start();
	}

	String callerAddress() {
		return "127.0.0.1:" + this.callerPort;
	}

	String readinessAddress() {
		return "127.0.0.1:" + this.readinessPort;
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	void start() throws IOException {
		this.startCount++;
		this.paused = false;
		this.stopping = false;
		ProcessBuilder builder = new ProcessBuilder(this.command).directory(this.workingDirectory.toFile())
			.redirectErrorStream(true)
			.redirectOutput(logFile().toFile());
		builder.environment().put("BURDOCKTRAY_NODE_FILE", settingsFile().toString());
		this.process = builder.start();
	}

	/**
	 * Starts the gateway again if it has exited.
	 * @return whether it had exited
	 */
	boolean startIfExited() throws IOException {
		if (isAlive()) {
			return false;
		}
		start();
		return true;
	}

	int startCount() {
		return this.startCount;
	}

	boolean isStopping() {
		return this.stopping;
	}

	/**
	 * Returns whether callers still open connections to the gateway.
	 * @return false from a while after a planned stop has begun, until the next start
	 */
	boolean isInRotation() {
		return !this.stopping || System.nanoTime() - this.stopNanos < ROTATION_EXIT_NANOS;
	}

	void terminate() {
		this.stopping = true;
		this.stopNanos = System.nanoTime();
		this.process.destroy();
	}

	void kill() {
		this.process.destroyForcibly();
	}

	void pause() throws IOException, InterruptedException {
		this.paused = true;
		signal("STOP");
	}

	void resume() throws IOException, InterruptedException {
		if (this.paused) {
			this.paused = false;
			signal("CONT");
		}
	}

	void reload() throws IOException, InterruptedException {
		signal("HUP");
	}

	boolean awaitExit(long millis) throws InterruptedException {
		return this.process.waitFor(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the CPU time since the last start.
	 * @return the total of all threads
	 */
	Duration cpuTime() {
		return this.process.info().totalCpuDuration().orElse(Duration.ZERO);
	}

	int exitCode() {
		return this.process.exitValue();
	}

	@Override
	public void close() throws IOException, InterruptedException {
		resume();
		kill();
		this.process.waitFor();
	}

	private void signal(String signal) throws IOException, InterruptedException {
		if (this.process.isAlive()) {
			new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
		}
	}

	/**
	 * Returns the file to which the gateway logs since its last start.
	 * @return the path of the file
	 */
	Path logFile() {
		return this.directory.resolve(this.name + "-" + this.startCount + ".log");
	}

	long pid() {
		return this.process.pid();
	}

	private static List<String> command(Path jar) {
		List<String> command = new ArrayList<>(List.of("java"));
		command.addAll(JVM_OPTIONS);
		Path archive = Path.of(jar.toString().replace(".jar", ".jsa"));
		if (Files.exists(archive)) {
			command.add("-XX:SharedArchiveFile=" + archive);
		}
		command.addAll(List.of("-jar", jar.toString(), "gateway"));
		return List.copyOf(command);
	}

	private Path settingsFile() {
		return this.directory.resolve(this.name + ".json");
	}

	private String settings(String storeAddress) {
		int peerPort = FreePorts.take();
		return new JsonObject().put("nodeName", this.name)
			.put("zone", "ghent")
			.put("ip", "127.0.0.1")
			.put("internalPorts", new JsonArray().add(peerPort).add(peerPort))
			.put("listen", new JsonObject().put("front", callerAddress()).put("ready", readinessAddress()))
			.put("bounds",
					new JsonObject().put("revokeMs", SoakRun.REVOCATION_MILLIS)
						.put("drainMs", 2_000)
						.put("graceS", 6)
						.put("contactMs", 3_000)
						.put("retryBudgetRatio", 0.2)
						.put("budgetWindowS", 10)
						.put("budgetExtra", 200)
						.put("stall_ms", 3_000))
			.put("platform", new JsonObject().put("address", storeAddress))
			.encode();
	}

}
