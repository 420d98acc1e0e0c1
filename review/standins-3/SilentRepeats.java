import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case 14 on real processes: all open connections to the store go silent once in a while, new ones
 * work. A quarter of the replicas have been replaced then, and the old ones leave: a third of them
 * reports that it drains, of the others the entries are removed. The store, the replicas and
 * the clients are those of the second review.
 */
final class SilentRepeats {

	/** The rules hold again for a machine after this time. */
	private static final long CONTACT_MILLIS = 3_000;

	/** For the clocks of this program. */
	private static final long TOLERANCE_MILLIS = 50;

	private static final int GATEWAYS = 6;

	private static final int REPLICAS = 60;

	/** A quarter of the replicas. */
	private static final int REPLACED = 15;

	private static final int SILENCES = 12;

	private static final long BEFORE_CONFIGURATION_MILLIS = 850;

	/** The next watches wait already: pauses of 500 ms after changes of replicas, of 250 ms after these. */
	private static final long BEFORE_SILENCE_MILLIS = 300;

	private static final long BEFORE_LEAVING_MILLIS = 100;

	/** From one silence until the next replicas are added. */
	private static final long ROUND_MILLIS = 6_400;

	private static final long SERVES_MILLIS = LeavingCheck.DRAIN_MILLIS + 2_500;

	private static final long BETWEEN_REQUESTS_MILLIS = 300;

	private static final long WORK_MILLIS = 1_000;

	private SilentRepeats() {
	}

	public static void main(String[] arguments) {
		Case.start(SilentRepeats::run, arguments[0]);
	}

	private static int run(Record record, boolean isTrouble) throws IOException, InterruptedException {
		LeavingCheck check = new LeavingCheck(record);
		Fleet fleet = new Fleet(record, 500, 6, WORK_MILLIS, check::onRun);
		Proxy proxy = new Proxy(fleet.network() + "2", fleet.store.address());
		proxy.start();
		for (int count = 0; count < REPLICAS; count++) {
			fleet.addReplica();
		}
		for (int count = 0; count < GATEWAYS; count++) {
			fleet.addGateway(proxy.address());
		}
		if (!fleet.startGateways()) {
			return Case.NOT_RUN;
		}
		AtomicLong silencedMillis = new AtomicLong(-CONTACT_MILLIS);
		check.setInTouch((gateway, sendMillis) -> sendMillis - silencedMillis.get() >= CONTACT_MILLIS
				+ TOLERANCE_MILLIS);
		Thread.sleep(3_000);
		fleet.gateways.forEach((gateway) -> check.sendRequests(gateway, BETWEEN_REQUESTS_MILLIS));
		Thread.sleep(2_000);
		for (int silence = 0; silence < SILENCES; silence++) {
			for (int count = 0; count < REPLACED; count++) {
				fleet.addReplica();
			}
			Thread.sleep(BEFORE_CONFIGURATION_MILLIS);
			fleet.store.put("config", "main", configuration(8 + silence));
			Thread.sleep(BEFORE_SILENCE_MILLIS);
			if (isTrouble) {
				silencedMillis.set(Record.millis());
				proxy.silence();
				record.add("open connections to the store go silent");
			}
			Thread.sleep(BEFORE_LEAVING_MILLIS);
			for (int count = 0; count < REPLACED; count++) {
				Replica leaver = fleet.removeOldest();
				leaver.leave();
				boolean isReported = count % 3 == 0;
				if (isReported) {
					fleet.store.put("servers", leaver.id(), leaver.entry("draining"));
				}
				else {
					fleet.store.remove("servers", leaver.id());
				}
				check.leaves(fleet.store, leaver, isReported ? "draining" : "gone", SERVES_MILLIS);
			}
			Thread.sleep(ROUND_MILLIS);
		}
		check.end();
		Thread.sleep(2_500);
		return fleet.areGatewaysAlive() ? check.report() : Case.NOT_RUN;
	}

	/** That of the fleet with another version and time-out. */
	private static Map<String, Object> configuration(int version) {
		Map<String, Object> route = Json.object("name", "r-book", "host", Fleet.HOST, "pathPrefix", Fleet.PATH, "kind",
				"non_idempotent", "timeoutMs", 5000 + version, "targetLatencyMs", 1000, "priority", 1, "service",
				"desk", "maxAttempts", 2, "public", false, "stickySessions", false, "resumable", false);
		return Json.object("version", version, "routes", List.of(route), "services",
				List.of(Json.object("name", "desk", "healthPath", "/health", "maxConnections", 96, "protocol", "h1",
						"tls", false)),
				"limits",
				Json.object("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs",
						15000),
				"tenants", List.of(Json.object("name", "tenant-1", "apiKeys", List.of(Fleet.KEY), "priority", 1)));
	}

}
