import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All open connections to the store go silent, new ones work. Then a version of the
 * configuration moves a route to another service.
 */
final class StaleRules {

	/** The rules hold again for a machine after this time. */
	private static final long CONTACT_MILLIS = 4_000;

	private static final long CONFIG_APPLY_MILLIS = 3_000;

	private static final long TOLERANCE_MILLIS = 100;

	private static final int ROUNDS = 5;

	/** From this number on, few gateways watch the store and the others ask them. */
	private static final int GATEWAYS = 16;

	private static final long ROUND_MILLIS = 14_000;

	private static final int REPLICAS = 6;

	private static final long BETWEEN_REQUESTS_MILLIS = 100;

	private final Record record;

	private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();

	private final AtomicInteger staleRuns = new AtomicInteger();

	private final AtomicInteger staleAnswers = new AtomicInteger();

	private volatile String service = "desk";

	/** From when on requests must be handled as the newest version says. */
	private volatile long boundMillis;

	private volatile boolean ended;

	private StaleRules(Record record) {
		this.record = record;
	}

	public static void main(String[] arguments) {
		Case.start((record, isTrouble) -> new StaleRules(record).run(isTrouble), arguments[0]);
	}

	private int run(boolean isTrouble) throws IOException, InterruptedException {
		Fleet fleet = new Fleet(this.record, 500, 24, 20, this::onRun, Fleet.GROWN, true);
		Proxy proxy = new Proxy(fleet.network() + "2", fleet.store.address());
		proxy.start();
		for (int count = 0; count < REPLICAS; count++) {
			fleet.addReplica("desk");
			fleet.addReplica("desk-2");
		}
		for (int count = 0; count < GATEWAYS; count++) {
			fleet.addGateway(proxy.address());
		}
		if (!fleet.startGateways()) {
			return Case.NOT_RUN;
		}
		Thread.sleep(CONTACT_MILLIS);
		Caller caller = new Caller(this.record, Fleet.HOST, Fleet.KEY);
		fleet.gateways.forEach((gateway) -> HttpServer.thread(() -> sendRequests(caller, gateway)));
		Thread.sleep(2_000);
		for (int round = 0; round < ROUNDS; round++) {
			this.boundMillis = Long.MAX_VALUE;
			long silencedMillis = Record.millis();
			if (isTrouble) {
				proxy.silence();
				this.record.add("open connections to the store go silent");
			}
			Thread.sleep(300);
			this.service = this.service.equals("desk") ? "desk-2" : "desk";
			fleet.route(this.service);
			long acknowledgedMillis = Record.millis();
			this.record.add("store acknowledges: the route goes to %s", this.service);
			this.boundMillis = Math.max(acknowledgedMillis + CONFIG_APPLY_MILLIS,
					isTrouble ? silencedMillis + CONTACT_MILLIS : 0) + TOLERANCE_MILLIS;
			Thread.sleep(ROUND_MILLIS);
		}
		this.ended = true;
		Thread.sleep(500);
		this.record.add("runsAtTheOldService=%d", this.staleRuns.get());
		return fleet.areGatewaysAlive() ? (this.staleRuns.get() > 0 ? 1 : 0) : 2;
	}

	private void sendRequests(Caller caller, Gateway gateway) {
		int count = 0;
		while (!this.ended) {
			count++;
			String path = Fleet.PATH + gateway.name() + "/" + count;
			HttpServer.thread(() -> {
				this.sentMillis.put(path, Record.millis());
				caller.send(gateway, "POST", path, new byte[100], 2_000);
			});
			try {
				Thread.sleep(BETWEEN_REQUESTS_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void onRun(Replica replica, Http.Message request) {
		Long sent = this.sentMillis.get(request.target());
		boolean isStale = sent != null && sent > this.boundMillis && !replica.service().equals(this.service);
		if (isStale) {
			this.staleRuns.incrementAndGet();
			this.record.add("STALE %s runs at %s, sent %d ms after the bound, from %s",
					request.header("X-Burdocktray-Request-Id"), replica.service(), sent - this.boundMillis,
					request.header("X-Case-Gateway"));
		}
	}

}
