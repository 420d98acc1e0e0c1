import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 11 on real processes: the store is away for a moment and comes back from a copy some seconds
 * old. What the operator and the replicas had written is written again, and a new version takes a
 * key away. Clients go on with that key. The store and the processes are those of SharedWatchCase.
 */
public final class EraCase {

	static final long REVOKE_MILLIS = 5_000;

	static final long AWAY_MILLIS = 700;

	static final long COPY_AGE_MILLIS = 3_000;

	private EraCase() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
		SharedWatchCase.record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true);
		SharedWatchCase.work = Files.createTempDirectory("case-11");
		int result = 2;
		try {
			result = run(isTrouble);
		}
		catch (Exception ex) {
			SharedWatchCase.note("could not run: " + ex);
			ex.printStackTrace();
		}
		finally {
			SharedWatchCase.endAll();
		}
		SharedWatchCase.note("exit " + result);
		System.exit(result);
	}

	static int run(boolean isTrouble) throws Exception {
		for (int index = 1; index <= 6; index++) {
			SharedWatchCase.startReplica("desk-" + index);
		}
		SharedWatchCase.putConfig(0);
		List<String> vms = List.of("front-ankara-depo-1", "front-konya-depo-1", "front-kayseri-depo-1");
		for (String vm : vms) {
			SharedWatchCase.startVm(vm);
		}
		SharedWatchCase.awaitRegistered(3);
		Thread.sleep(6_000);
		List<List<long[]>> answered = new ArrayList<>();
		AtomicInteger open = new AtomicInteger();
		long clientEnd = System.nanoTime() + TimeUnit.SECONDS.toNanos(22);
		for (String vm : vms) {
			List<long[]> ofVm = new ArrayList<>();
			answered.add(ofVm);
			for (int client = 0; client < 2; client++) {
				open.incrementAndGet();
				String prefix = "e" + vm.substring(6, 9) + client;
				new Thread(() -> {
					SharedWatchCase.callRepeatedly(SharedWatchCase.IPS.get(vm), SharedWatchCase.CALLER_PORTS.get(vm),
							"key-1", prefix, clientEnd, ofVm);
					open.decrementAndGet();
				}).start();
			}
		}
		Thread.sleep(4_000);
		Map<String, TreeMap<String, String[]>> copy = copyObjects();
		long copyRevision = SharedWatchCase.revision;
		Thread.sleep(COPY_AGE_MILLIS - 1_000);
		changeReplicas(1);
		SharedWatchCase.putConfig(0);
		String lostConfig = SharedWatchCase.OBJECTS.get("config").get("main")[2];
		Thread.sleep(1_000);
		if (isTrouble) {
			SharedWatchCase.note("the store is away at revision " + SharedWatchCase.revision);
			SharedWatchCase.away = true;
			Thread.sleep(AWAY_MILLIS);
			restore(copy, copyRevision);
			SharedWatchCase.note("the store is back from a copy of revision " + copyRevision + ", Store-Era "
					+ SharedWatchCase.era);
			SharedWatchCase.away = false;
			Thread.sleep(50);
			SharedWatchCase.put("config", "main", lostConfig);
			changeReplicas(1);
			Thread.sleep(50);
		}
		SharedWatchCase.putConfig(1);
		long ackNanos = System.nanoTime();
		SharedWatchCase.note("acknowledged: version " + SharedWatchCase.configVersion
				+ " takes key-1 away, at revision " + SharedWatchCase.revision);
		Thread.sleep(50);
		changeReplicas(2);
		SharedWatchCase.note("replicas have written: revision " + SharedWatchCase.revision);
		while (open.get() > 0) {
			Thread.sleep(50);
		}
		int late = 0;
		for (int index = 0; index < vms.size(); index++) {
			late += countLate(vms.get(index), answered.get(index), ackNanos);
		}
		SharedWatchCase.note("requests that ran with a removed key, sent more than " + REVOKE_MILLIS
				+ " ms after the acknowledgement: " + late);
		return (late > 0) ? 1 : 0;
	}

	static int countLate(String vm, List<long[]> answers, long ackNanos) {
		int late = 0;
		long lastMillis = Long.MIN_VALUE;
		synchronized (answers) {
			for (long[] answer : answers) {
				long sentMillis = TimeUnit.NANOSECONDS.toMillis(answer[0] - ackNanos);
				if (answer[1] == 200) {
					lastMillis = Math.max(lastMillis, sentMillis);
					late += (sentMillis > REVOKE_MILLIS) ? 1 : 0;
				}
			}
			SharedWatchCase.note(vm + ": requests=" + answers.size() + " last one that ran was sent " + lastMillis
					+ " ms after the acknowledgement, " + late + " of them late");
		}
		return late;
	}

	// Each replica writes that its time to warm up has changed.
	static void changeReplicas(int step) {
		SharedWatchCase.ENTRIES.forEach((replica, entry) -> SharedWatchCase.put("servers", replica,
				entry.replace("\"coldLeftMs\":0", "\"coldLeftMs\":" + 100 * step)));
	}

	static Map<String, TreeMap<String, String[]>> copyObjects() {
		synchronized (SharedWatchCase.STORE_LOCK) {
			Map<String, TreeMap<String, String[]>> copy = new HashMap<>();
			SharedWatchCase.OBJECTS.forEach((kind, objects) -> copy.put(kind, new TreeMap<>(objects)));
			return copy;
		}
	}

	static void restore(Map<String, TreeMap<String, String[]>> copy, long copyRevision) {
		synchronized (SharedWatchCase.STORE_LOCK) {
			SharedWatchCase.OBJECTS.clear();
			SharedWatchCase.OBJECTS.putAll(copy);
			SharedWatchCase.HISTORY.removeIf((event) -> Long.parseLong(event[1]) > copyRevision);
			SharedWatchCase.revision = copyRevision;
			SharedWatchCase.era++;
			SharedWatchCase.STORE_LOCK.notifyAll();
		}
	}

}
