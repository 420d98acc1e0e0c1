package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** A small deployment on loopback addresses: a store, plain replicas, and gateways as processes. */
final class Fleet implements AutoCloseable {

	static final String HOST = "desk.example";

	static final String KEY = "k1";

	final Record record;

	final Store store;

	final List<Replica> replicas = new ArrayList<>();

	final List<Gateway> gateways = new ArrayList<>();

	private final Path folder;

	private final String network;

	private int nextHost = 1;

	Fleet(Path recordFile) throws IOException {
		this.record = new Record(recordFile);
		this.folder = Files.createTempDirectory("review");
		Random random = new Random();
		this.network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
		this.store = new Store(nextIp());
		Runtime.getRuntime().addShutdownHook(new Thread(this::stopProcesses));
	}

	String nextIp() {
		return this.network + this.nextHost++;
	}

	Replica addReplica(String service, String zone, int slots, long workMillis) throws IOException {
		Replica replica = new Replica(nextIp(), "i-" + service + "-" + this.replicas.size(), slots, workMillis,
				this.record);
		this.replicas.add(replica);
		this.store.put("servers", replica.id, replica.entry(service, zone, "ready"));
		return replica;
	}

	Gateway addGateway(String zone) throws IOException {
		return addGateway(zone, this.store.address());
	}

	Gateway addGateway(String zone, String storeAddress) throws IOException {
		Gateway gateway = new Gateway(this.folder, "front-" + zone + "-" + this.gateways.size(), nextIp(), zone,
				storeAddress);
		this.gateways.add(gateway);
		return gateway;
	}

	/** Writes a configuration with two services, {@code desk} and {@code annex}; returns its revision. */
	long configure(long version, List<String> keys, int maxBodyBytes, String... routes) {
		String keyList = keys.stream().map(Json::quote).collect(Collectors.joining(","));
		return this.store.put("config", "main", "{\"version\":" + version + ",\"routes\":["
				+ String.join(",", routes)
				+ "],\"services\":[" + service("desk") + "," + service("annex") + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + maxBodyBytes
				+ ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":["
				+ keyList + "],\"priority\":1}]}");
	}

	private static String service(String name) {
		return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}";
	}

	static String route(String name, String kind, int timeoutMillis, int attempts) {
		return route(name, kind, timeoutMillis, attempts, "desk");
	}

	static String route(String name, String kind, int timeoutMillis, int attempts, String service) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\"" + kind
				+ "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":121,\"priority\":1,\"service\":\"" + service + "\","
				+ "\"maxAttempts\":" + attempts + ",\"public\":false}";
	}

	static TreeMap<String, String> headers(String requestId, int deadlineMillis, String key) {
		TreeMap<String, String> headers = new TreeMap<>();
		headers.put("Host", HOST);
		headers.put("X-Burdocktray-Request-Id", requestId);
		headers.put("X-Burdocktray-Deadline-Ms", Integer.toString(deadlineMillis));
		headers.put("Authorization", "Bearer " + key);
		return headers;
	}

	private void stopProcesses() {
		this.gateways.forEach(Gateway::close);
	}

	@Override
	public void close() throws IOException {
		stopProcesses();
		this.replicas.forEach(Replica::close);
		this.store.close();
		this.record.close();
		if (System.getenv("KEEP_LOGS") != null) {
			System.out.println("logs: " + this.folder);
			return;
		}
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
		Files.delete(this.folder);
	}

}
