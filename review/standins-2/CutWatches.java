import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Replicas leave without reporting so: their entries are removed, while the store cuts off
 * the watches that wait.
 */
final class CutWatches {

	private static final long WATCH_CUT_MILLIS = 500;

	private static final int REPLICAS = 36;

	private static final int LEAVERS = 26;

	private static final long MIN_BETWEEN_LEAVERS_MILLIS = 1_000;

	private static final long MAX_BETWEEN_LEAVERS_MILLIS = 2_000;

	private static final long SERVES_MILLIS = LeavingCheck.DRAIN_MILLIS + 2_500;

	private static final long BETWEEN_REQUESTS_MILLIS = 300;

	private static final long WORK_MILLIS = 1_000;

	private CutWatches() {
	}

	public static void main(String[] arguments) {
		Case.start(CutWatches::run, arguments[0]);
	}

	private static int run(Record record, boolean isTrouble) throws IOException, InterruptedException {
		LeavingCheck check = new LeavingCheck(record);
		Fleet fleet = new Fleet(record, 500, 6, WORK_MILLIS, check::onRun);
		for (int count = 0; count < REPLICAS; count++) {
			fleet.addReplica();
		}
		for (int count = 0; count < 3; count++) {
			fleet.addGateway(fleet.store.address());
		}
		if (!fleet.startGateways()) {
			return Case.NOT_RUN;
		}
		if (isTrouble) {
			fleet.store.cutWatchesAfter(WATCH_CUT_MILLIS);
			record.add("the store cuts off each watch that has waited for %d ms", WATCH_CUT_MILLIS);
		}
		Thread.sleep(3_000);
		fleet.gateways.forEach((gateway) -> check.sendRequests(gateway, BETWEEN_REQUESTS_MILLIS));
		Thread.sleep(2_000);
		for (int count = 0; count < LEAVERS; count++) {
			fleet.addReplica();
			sleepBetweenLeavers();
			Replica leaver = fleet.removeOldest();
			leaver.leave();
			fleet.store.remove("servers", leaver.id());
			check.leaves(fleet.store, leaver, "gone", SERVES_MILLIS);
			sleepBetweenLeavers();
		}
		Thread.sleep(2_000);
		check.end();
		Thread.sleep(1_500);
		return fleet.areGatewaysAlive() ? check.report() : Case.NOT_RUN;
	}

	private static void sleepBetweenLeavers() throws InterruptedException {
		Thread.sleep(ThreadLocalRandom.current().nextLong(MIN_BETWEEN_LEAVERS_MILLIS, MAX_BETWEEN_LEAVERS_MILLIS));
	}

}
