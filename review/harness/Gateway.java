package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway as a process of its own, started with the {@code run} line of the deploy file. */
final class Gateway implements AutoCloseable {

	final String name;

	final String ip;

	final int port;

	private final int readinessPort;

	private final Path settings;

	private final Path log;

	private Process process;

	private int starts;

	Gateway(Path folder, String name, String ip, String zone, String store) throws IOException {
		this.name = name;
		this.ip = ip;
		this.port = freePort(ip);
		this.readinessPort = freePort(ip);
		int peerPort = freePort(ip);
		this.settings = folder.resolve(name + ".json");
		this.log = folder.resolve(name + ".log");
		Files.writeString(this.settings, "{\"nodeName\":\"" + name + "\",\"role\":\"gateway\",\"machineClass\":\"front\","
				+ "\"serves\":[\"front\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"anadolu\","
				+ "\"listen\":{\"front\":\"" + ip + ":" + this.port + "\",\"ready\":\"" + ip + ":" + this.readinessPort
				+ "\"},\"internalPorts\":[" + peerPort + "," + (peerPort + 1) + "],\"bootstrap\":true,"
				+ "\"limits\":{\"cpuShare\":0.75,\"cpuCores\":1,\"memoryMb\":430,\"maxFds\":4200,\"linkMbps\":1000.0,"
				+ "\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,"
				+ "\"bounds\":{\"seedLagS\":3,\"reuseDelayS\":2,\"contactMs\":3000,\"ackTimeoutMs\":4000,\"catchUpS\":4,"
				+ "\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,"
				+ "\"maxSkewMs\":5000,\"strictRevocation\":true,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,"
				+ "\"budgetWindowS\":10,\"budgetExtra\":196,\"recoveryS\":12,\"passMs\":120,\"retryAfterS\":0,"
				+ "\"stall_ms\":3000,\"fencingEnforced\":false},\"platform\":{\"address\":\"" + store
				+ "\",\"form\":\"objects\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,"
				+ "\"valueBytes\":1048576,\"ttlMinMs\":1000}}");
	}

	void start() throws IOException {
		List<String> command = new ArrayList<>();
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				command.addAll(List.of(line.substring(7, line.length() - 1).split(" ")));
			}
		}
		this.starts++;
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.environment().put("BURDOCKTRAY_NODE_FILE", this.settings.toString());
		this.process = builder.start();
	}

	boolean isReady() {
		try (Http.Connection connection = Http.Connection.open(this.ip, this.readinessPort, 1_000)) {
			connection.send("GET /readiness HTTP/1.1", java.util.Map.of("Host", this.ip), new byte[0]);
			Http.Message answer = connection.receive();
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady(long seconds) throws InterruptedException, IOException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!isReady()) {
			if (System.nanoTime() > endNanos) {
				throw new IOException(this.name + " is not ready in " + seconds + " s");
			}
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	long pid() {
		return this.process.pid();
	}

	/** Sends SIGKILL and waits for the end. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor();
	}

	/** Sends SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	/** Returns the resident memory. */
	long residentMb() {
		try {
			for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/status"))) {
				if (line.startsWith("VmRSS:")) {
					return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
				}
			}
		}
		catch (IOException ex) {
			return 0;
		}
		return 0;
	}

	long linesWith(String text) throws IOException {
		try (var lines = Files.lines(this.log)) {
			return lines.filter((line) -> line.contains(text)).count();
		}
	}

	Path log() {
		return this.log;
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

}
