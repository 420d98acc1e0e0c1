import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A small deployment on loopback addresses: a store, replicas of one service, and gateways. */
final class Fleet {

	static final String HOST = "desk.example";

	static final String PATH = "/book/";

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	private static final String SERVICE = "desk";

	private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

	private final Path workFolder = Files.createTempDirectory("review-2-");

	private final String network;

	private final Record record;

	private final Replica.Listener listener;

	private final long workMillis;

	private final int slots;

	final Store store;

	final List<Gateway> gateways = new ArrayList<>();

	final Map<String, Replica> replicas = new LinkedHashMap<>();

	private int replicaCount;

	Fleet(Record record, int pageSize, int slots, long workMillis, Replica.Listener listener) throws IOException {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		this.network = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + ".";
		this.record = record;
		this.slots = slots;
		this.workMillis = workMillis;
		this.listener = listener;
		this.store = new Store(this.network + "1", pageSize);
		this.store.start();
		this.store.put("config", "main", configuration());
		Runtime.getRuntime().addShutdownHook(new Thread(this::deleteWorkFolder));
	}

	private static Map<String, Object> configuration() {
		Map<String, Object> route = Json.object("name", "r-book", "host", HOST, "pathPrefix", PATH, "kind",
				"non_idempotent", "timeoutMs", 5000, "targetLatencyMs", 1000, "priority", 1, "service", SERVICE,
				"maxAttempts", 2, "public", false, "stickySessions", false, "resumable", false);
		return Json.object("version", 7, "routes", List.of(route), "services",
				List.of(Json.object("name", SERVICE, "healthPath", "/health", "maxConnections", 96, "protocol", "h1",
						"tls", false)),
				"limits",
				Json.object("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs",
						15000),
				"tenants", List.of(Json.object("name", "tenant-1", "apiKeys", List.of(KEY), "priority", 1)));
	}

	/** Starts a replica and registers it as ready. */
	Replica addReplica() throws IOException {
		return addReplicaIn(ZONES.get((this.replicaCount + 1) % ZONES.size()));
	}

	Replica addReplicaIn(String zone) throws IOException {
		this.replicaCount++;
		String id = String.format("i-%08x", this.replicaCount * 0x9e3779b1);
		Replica replica = new Replica(this.network + (100 + this.replicaCount % 100), id, SERVICE, zone,
				this.slots, this.workMillis, this.record, this.listener);
		replica.start();
		this.store.put("servers", id, replica.entry("ready"));
		this.replicas.put(id, replica);
		return replica;
	}

	/** Takes the replica that was added first out of the list of this program. */
	Replica removeOldest() {
		Replica oldest = this.replicas.values().iterator().next();
		this.replicas.remove(oldest.id());
		return oldest;
	}

	boolean areGatewaysAlive() {
		return this.gateways.stream().allMatch(Gateway::isAlive);
	}

	Gateway addGateway(String storeAddress) throws IOException {
		int number = this.gateways.size() + 1;
		Map<String, String> zones = new LinkedHashMap<>();
		ZONES.forEach((zone) -> zones.put(zone, "r1"));
		Gateway gateway = new Gateway(this.workFolder, "front-" + number, this.network + (10 + number),
				ZONES.get(number % ZONES.size()), zones, storeAddress);
		this.gateways.add(gateway);
		return gateway;
	}

	/** Starts the gateways and waits until all are ready. */
	boolean startGateways() throws IOException, InterruptedException {
		for (Gateway gateway : this.gateways) {
			gateway.start();
			this.record.add("%s starts", gateway.name());
		}
		for (Gateway gateway : this.gateways) {
			if (!gateway.awaitReady(20_000)) {
				this.record.add("%s is not ready in time", gateway.name());
				return false;
			}
		}
		this.record.add("all gateways are ready");
		return true;
	}

	String network() {
		return this.network;
	}

	private void deleteWorkFolder() {
		try (var files = Files.walk(this.workFolder)) {
			if (System.getenv("KEEP_LOGS") != null) {
				return;
			}
			files.sorted(java.util.Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			// Nothing is left to delete.
		}
	}

}
