import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All open connections to the store go silent once in a while, new ones work. A quarter of
 * the replicas have been replaced then, and the old ones report that they are draining.
 */
final class SilentConnections {

	/** The rules hold again for a machine after this time. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final int REPLICAS = 36;

	private static final int SILENCES = 10;

	/** A quarter of the replicas. */
	private static final int REPLACED = 9;

	private static final long BETWEEN_NEW_MILLIS = 250;

	/** Longer than a gateway pauses after a change, so that its next watch waits already. */
	private static final long BEFORE_SILENCE_MILLIS = 350;

	/** From one silence until the next replicas are added. */
	private static final long ROUND_MILLIS = 6_000;

	private static final long SERVES_MILLIS = LeavingCheck.DRAIN_MILLIS + 2_000;

	private static final long BETWEEN_REQUESTS_MILLIS = 330;

	private static final long WORK_MILLIS = 1_000;

	private SilentConnections() {
	}

	public static void main(String[] arguments) {
		Case.start(SilentConnections::run, arguments[0]);
	}

	private static int run(Record record, boolean isTrouble) throws IOException, InterruptedException {
		LeavingCheck check = new LeavingCheck(record);
		Fleet fleet = new Fleet(record, 500, 6, WORK_MILLIS, check::onRun);
		Proxy proxy = new Proxy(fleet.network() + "2", fleet.store.address());
		proxy.start();
		for (int count = 0; count < REPLICAS; count++) {
			fleet.addReplica();
		}
		for (int count = 0; count < 3; count++) {
			fleet.addGateway(proxy.address());
		}
		if (!fleet.startGateways()) {
			return Case.NOT_RUN;
		}
		AtomicLong silencedMillis = new AtomicLong(-CONTACT_MILLIS);
		check.setInTouch((gateway, sendMillis) -> sendMillis - silencedMillis.get() >= CONTACT_MILLIS);
		Thread.sleep(3_000);
		fleet.gateways.forEach((gateway) -> check.sendRequests(gateway, BETWEEN_REQUESTS_MILLIS));
		Thread.sleep(2_000);
		for (int silence = 0; silence < SILENCES; silence++) {
			for (int count = 0; count < REPLACED; count++) {
				fleet.addReplica();
				Thread.sleep(BETWEEN_NEW_MILLIS);
			}
			Thread.sleep(BEFORE_SILENCE_MILLIS);
			if (isTrouble) {
				silencedMillis.set(Record.millis());
				proxy.silence();
				record.add("open connections to the store go silent");
			}
			Thread.sleep(200);
			for (int count = 0; count < REPLACED; count++) {
				Replica leaver = fleet.removeOldest();
				leaver.leave();
				fleet.store.put("servers", leaver.id(), leaver.entry("draining"));
				check.leaves(fleet.store, leaver, "draining", SERVES_MILLIS);
			}
			Thread.sleep(ROUND_MILLIS);
		}
		Thread.sleep(3_000);
		check.end();
		Thread.sleep(1_500);
		return fleet.areGatewaysAlive() ? check.report() : Case.NOT_RUN;
	}

}
