package org.burdocktray.standins.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.network.FreePorts;

/**
 * Runs a typical workload against a gateway, so that a class-data sharing archive can be
 * created from the classes that it loads. Writes a settings file, waits until the gateway
 * that is started with this file is ready, sends requests and exits. Thread safety: runs
 * once per process.
 */
public final class TrainingFleet {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

	private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final System.Logger LOGGER = System.getLogger(TrainingFleet.class.getName());

	private static final long POLL_INTERVAL_MILLIS = 100;

	private static final int REQUESTS = 40;

	/** So many that the gateway learns the pace of the engines. */
	private static final int EVENTS_PER_RESPONSE = 40;

	private static final int OK = 200;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private TrainingFleet() {
	}

	/**
	 * Runs the training and exits the process, with status 1 when the training failed.
	 * The exit is explicit because the stand-ins' threads would keep the process alive.
	 * @param arguments the path of the settings file to write
	 */
	public static void main(String[] arguments) {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		int status = 0;
		try {
			new TrainingFleet().run(Path.of(arguments[0]));
		}
		catch (IOException | InterruptedException | IllegalStateException ex) {
			LOGGER.log(System.Logger.Level.ERROR, "Training run failed", ex);
			status = 1;
		}
		System.exit(status);
	}

	private void run(Path settingsFile) throws IOException, InterruptedException {
		ObjectApiStandIn store = new ObjectApiStandIn();
		store.start(0);
		EngineNetwork network = new EngineNetwork();
		// Without layers, as at the start of a fleet: the gateway assigns them.
		List<LayeredEngineStandIn> engines = List.of(
				new LayeredEngineStandIn("head", network, EVENTS_PER_RESPONSE).startAndJoin(),
				new LayeredEngineStandIn("tail", network, EVENTS_PER_RESPONSE).startAndJoin());
		register(store, engines);
		PlainReplicaStandIn replica = new PlainReplicaStandIn("desk-1");
		replica.start(0);
		store.put("servers", "desk-1", replica.storeEntry("desk", "ghent", "ready"));
		store.put("config", "main", resource("training-rules.json"));
		int callerPort = FreePorts.take();
		int readinessPort = FreePorts.take();
		Files.writeString(settingsFile, settings(store, callerPort, readinessPort));
		awaitReady(readinessPort);
		awaitStream(store, engines, callerPort);
		register(store, List.of(new LayeredEngineStandIn("empty", network, EVENTS_PER_RESPONSE).startAndJoin()));
		for (int request = 0; request < REQUESTS; request++) {
			send(callerPort, "/draft/" + request, "POST", "d" + request);
			send(callerPort, "/book/" + request, "POST", "b" + request);
			send(callerPort, "/check/" + request, "GET", "c" + request);
			send(callerPort, "/nowhere/" + request, "GET", "n" + request);
		}
	}

	private static void register(ObjectApiStandIn store, List<LayeredEngineStandIn> engines) {
		engines.forEach((engine) -> store.put("servers", engine.id(), engine.storeEntry("llm", "ghent", "fast")));
	}

	// Requests wait for engines meanwhile. Engines list the layers that they were
	// assigned.
	private void awaitStream(ObjectApiStandIn store, List<LayeredEngineStandIn> engines, int port)
			throws IOException, InterruptedException {
		long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
		for (int request = 0; send(port, "/draft/first/" + request, "POST", "first" + request) != OK; request++) {
			if (System.nanoTime() > deadlineNanos) {
				throw new IllegalStateException("the engines got no layers in time");
			}
			register(store, engines);
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private void awaitReady(int port) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
		while (!isReady(port)) {
			if (System.nanoTime() > deadlineNanos) {
				throw new IllegalStateException("the gateway did not become ready in time");
			}
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private boolean isReady(int port) throws InterruptedException {
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
				.timeout(CALL_TIMEOUT)
				.build();
			return this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private int send(int port, String path, String method, String requestId) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
			.method(method, HttpRequest.BodyPublishers.ofString("GET".equals(method) ? "" : "body"))
			.header("Host", "a.example")
			.header("X-Burdocktray-Request-Id", requestId)
			.header("X-Burdocktray-Deadline-Ms", "2000")
			.header("X-Burdocktray-Token-Count", "50,20")
			.header("Authorization", "Bearer k1")
			.timeout(CALL_TIMEOUT)
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
	}

	private static String settings(ObjectApiStandIn store, int callerPort, int readinessPort) {
		int peerPort = FreePorts.take();
		return new JsonObject().put("nodeName", "training")
			.put("zone", "ghent")
			.put("ip", "127.0.0.1")
			.put("internalPorts", new JsonArray().add(peerPort).add(peerPort))
			.put("listen",
					new JsonObject().put("front", "127.0.0.1:" + callerPort).put("ready", "127.0.0.1:" + readinessPort))
			.put("bounds",
					new JsonObject().put("revokeMs", 5_000)
						.put("drainMs", 2_000)
						.put("graceS", 8)
						.put("contactMs", 3_000)
						.put("retryBudgetRatio", 0.2)
						.put("budgetWindowS", 10)
						.put("budgetExtra", 100)
						.put("stall_ms", 3_000))
			.put("platform", new JsonObject().put("address", store.address()))
			.encode();
	}

	private static String resource(String name) throws IOException {
		try (InputStream stream = TrainingFleet.class.getResourceAsStream("/" + name)) {
			return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

}
