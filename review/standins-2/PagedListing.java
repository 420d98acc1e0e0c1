import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Gateways are restarted in turn. While one lists the replicas, which are more than one
 * page, replicas of the first page report that they are draining.
 */
final class PagedListing {

	/** A started machine is bound by the rules after this time. */
	private static final long CONTACT_MILLIS = 3_000;

	/** As in the site files. */
	private static final int PAGE_SIZE = 50;

	private static final int REPLICAS = 64;

	/** An eighth of the replicas, all in the zone of the gateway that lists. */
	private static final int LEAVERS = 8;

	private static final int RESTARTS = 5;

	private static final long SERVES_MILLIS = LeavingCheck.DRAIN_MILLIS + 5_000;

	private static final long BETWEEN_REQUESTS_MILLIS = 250;

	private static final long WORK_MILLIS = 1_000;

	private final Record record;

	private final LeavingCheck check;

	private final AtomicReference<String> listingZone = new AtomicReference<>();

	private final Map<String, Long> startedMillis = new ConcurrentHashMap<>();

	private Fleet fleet;

	private PagedListing(Record record) {
		this.record = record;
		this.check = new LeavingCheck(record);
	}

	public static void main(String[] arguments) {
		Case.start((record, isTrouble) -> new PagedListing(record).run(isTrouble), arguments[0]);
	}

	private int run(boolean isTrouble) throws IOException, InterruptedException {
		this.fleet = new Fleet(this.record, PAGE_SIZE, 6, WORK_MILLIS, this.check::onRun);
		for (int count = 0; count < REPLICAS; count++) {
			this.fleet.addReplica();
		}
		for (int count = 0; count < 3; count++) {
			this.fleet.addGateway(this.fleet.store.address());
		}
		if (!this.fleet.startGateways()) {
			return Case.NOT_RUN;
		}
		this.check.setInTouch(
				(gateway, sendMillis) -> sendMillis - this.startedMillis.getOrDefault(gateway, 0L) >= CONTACT_MILLIS);
		this.fleet.store.setPageListener(this::onPage);
		Thread.sleep(CONTACT_MILLIS);
		this.fleet.gateways.forEach((gateway) -> this.check.sendRequests(gateway, BETWEEN_REQUESTS_MILLIS));
		for (int restart = 0; restart < RESTARTS; restart++) {
			Gateway gateway = this.fleet.gateways.get(restart % this.fleet.gateways.size());
			if (isTrouble) {
				restart(gateway);
			}
			else {
				drainReplicas(gateway.zone());
			}
			Thread.sleep(SERVES_MILLIS);
			for (int count = 0; count < LEAVERS; count++) {
				this.fleet.addReplicaIn(gateway.zone());
			}
			Thread.sleep(2_000);
		}
		this.check.end();
		Thread.sleep(1_500);
		return this.fleet.areGatewaysAlive() ? this.check.report() : Case.NOT_RUN;
	}

	private void restart(Gateway gateway) throws IOException, InterruptedException {
		this.record.add("%s gets SIGTERM", gateway.name());
		gateway.stop();
		this.listingZone.set(gateway.zone());
		this.startedMillis.put(gateway.name(), Record.millis());
		gateway.start();
		this.record.add("%s starts", gateway.name());
		gateway.awaitReady(10_000);
	}

	private void onPage(String kind, String after) {
		if (!kind.equals("servers")) {
			return;
		}
		this.record.add("store has read a page of the replicas: after=%s", after);
		String zone = (after == null) ? this.listingZone.getAndSet(null) : null;
		if (zone != null) {
			drainReplicas(zone);
		}
	}

	// Those of the zone that come first in a listing.
	private void drainReplicas(String zone) {
		List<String> ids = this.fleet.replicas.values()
			.stream()
			.filter((replica) -> replica.zone().equals(zone))
			.map(Replica::id)
			.sorted()
			.limit(LEAVERS)
			.toList();
		for (String id : ids) {
			Replica leaver = this.fleet.replicas.remove(id);
			leaver.leave();
			this.fleet.store.put("servers", id, leaver.entry("draining"));
			this.check.leaves(this.fleet.store, leaver, "draining", SERVES_MILLIS);
		}
	}

}
