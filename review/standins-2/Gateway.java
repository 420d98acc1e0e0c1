import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A gateway process, started by the command of the deploy file. */
final class Gateway {

	private static final int GRACE_SECONDS = 8;

	private final Path workFolder;

	private final String name;

	private final String ip;

	private final String zone;

	private final int callerPort;

	private final int readinessPort;

	private final Path settings;

	private Process process;

	Gateway(Path workFolder, String name, String ip, String zone, Map<String, String> zones, String storeAddress)
			throws IOException {
		this.workFolder = workFolder;
		this.name = name;
		this.ip = ip;
		this.zone = zone;
		this.callerPort = freePort(ip);
		this.readinessPort = freePort(ip);
		int controlPort = freePort(ip);
		int internalPort = freePort(ip);
		this.settings = workFolder.resolve(name + ".json");
		Map<String, Object> bounds = Json.object("seedLagS", 3, "reuseDelayS", 2, "contactMs", 3000, "ackTimeoutMs",
				4000, "catchUpS", 4, "drainMs", 2000, "graceS", 8, "lossSlackMs", 200, "configApplyMs", 2000,
				"rollbackSlackMs", 250, "maxSkewMs", 5000, "strictRevocation", true, "revokeMs", 5000,
				"retryBudgetRatio", 0.2, "budgetWindowS", 10, "budgetExtra", 196, "recoveryS", 12, "passMs", 120,
				"retryAfterS", 0, "stall_ms", 3000, "fencingEnforced", false);
		Map<String, Object> fields = Json.object("nodeName", name, "role", "gateway", "machineClass", "front",
				"serves", List.of("front"), "ip", ip, "zone", zone, "region", "r1", "zones", zones, "listen",
				Json.object("front", ip + ":" + this.callerPort, "ready", ip + ":" + this.readinessPort, "control",
						ip + ":" + controlPort),
				"internalPorts", List.of(internalPort, internalPort + 15), "seedNodes", List.of(), "bootstrap", true,
				"lossCounts", false, "limits",
				Json.object("cpuShare", 0.75, "cpuCores", 1, "memoryMb", 430, "maxFds", 4200, "linkMbps", 1000.0,
						"diskMb", 0),
				"dataDir", null, "discovery", "platform", "entry", "vip", "heartbeatMs", 1200, "contracts",
				List.of("base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
						"platform", "layers"),
				"faultTolerance", Json.object("machines", 2, "zones", 1, "regions", 0), "bounds", bounds, "platform",
				Json.object("address", storeAddress, "form", "objects", "writesPerS", 400, "readsPerS", 2000,
						"historyS", 20, "valueBytes", 1_048_576, "ttlMinMs", 1000));
		Files.writeString(this.settings, Json.write(fields));
	}

	private static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
			return socket.getLocalPort();
		}
	}

	String name() {
		return this.name;
	}

	String zone() {
		return this.zone;
	}

	String ip() {
		return this.ip;
	}

	int callerPort() {
		return this.callerPort;
	}

	boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	long pid() {
		return this.process.pid();
	}

	void start() throws IOException {
		String run = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		ProcessBuilder builder = new ProcessBuilder(
				run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("BURDOCKTRAY_NODE_FILE", this.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.workFolder.resolve(this.name + ".log").toFile()));
		this.process = builder.start();
		Process started = this.process;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	/** Waits until the readiness check succeeds. */
	boolean awaitReady(long timeoutMillis) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (System.nanoTime() < endNanos) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(20);
		}
		return false;
	}

	boolean isReady() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://" + this.ip + ":" + this.readinessPort + "/readiness")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(300);
			connection.setReadTimeout(300);
			int status = connection.getResponseCode();
			connection.disconnect();
			return status == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Sends SIGTERM, and SIGKILL after the grace period. */
	void stop() throws InterruptedException {
		this.process.destroy();
		if (!this.process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
			kill();
		}
	}

	/** Sends SIGKILL. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor();
	}

}
