package review;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three gateways in front of three sound replicas, nothing else disrupted. The disruption: another
 * writer puts an entry beside those of the replicas whose address can't be read. Checked is whether
 * the gateways still answer.
 */
final class LongAddress {

	private static final int GATEWAYS = 3;

	private static final int TIMEOUT_MILLIS = 2_000;

	/** How long after the timeout of the route an answer counts as missing. */
	private static final int SLACK_MILLIS = 500;

	/** How long a caller waits; it says so in its requests. */
	private static final int DEADLINE_MILLIS = 5_000;

	/** An entry of 40 kB; the store takes up to 1 MiB. */
	private static final String ENTRY = "{\"service\":\"desk\",\"address\":\"[" + ":".repeat(40_000)
			+ "\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1}";

	private record Sent(double seconds, long millis, String result) {

	}

	private final Fleet fleet;

	private final ConcurrentLinkedQueue<Sent> all = new ConcurrentLinkedQueue<>();

	private final AtomicInteger ids = new AtomicInteger();

	private volatile boolean stopped;

	private LongAddress(Fleet fleet) {
		this.fleet = fleet;
	}

	public static void main(String[] arguments) {
		Cases.run(arguments, (fleet, trouble) -> new LongAddress(fleet).run(trouble));
	}

	private boolean run(boolean trouble) throws IOException, InterruptedException {
		this.fleet.configure(1, List.of(Fleet.KEY), 4_194_304, Fleet.route("book", "non_idempotent", TIMEOUT_MILLIS, 1));
		for (int index = 0; index < 3; index++) {
			this.fleet.addReplica("desk", "zone-" + index, 6, 20);
		}
		for (int index = 0; index < GATEWAYS; index++) {
			this.fleet.addGateway("zone-" + index).start();
		}
		for (Gateway gateway : this.fleet.gateways) {
			gateway.awaitReady(20);
		}
		TimeUnit.SECONDS.sleep(4);
		List<Thread> callers = new ArrayList<>();
		for (int caller = 0; caller < 10 * GATEWAYS; caller++) {
			Gateway gateway = this.fleet.gateways.get(caller % GATEWAYS);
			callers.add(Http.daemon(() -> call(gateway)));
		}
		TimeUnit.SECONDS.sleep(5);
		if (trouble) {
			this.fleet.record.note("another writer puts an entry whose address can't be read");
			this.fleet.store.put("servers", "x-unknown", ENTRY);
		}
		double from = this.fleet.record.seconds();
		for (int second = 0; second < 15; second++) {
			TimeUnit.SECONDS.sleep(1);
			long ready = this.fleet.gateways.stream().filter(Gateway::isReady).count();
			this.fleet.record.note("ready gateways: " + ready);
		}
		this.stopped = true;
		for (Thread caller : callers) {
			caller.join(DEADLINE_MILLIS + 1_000);
		}
		judge("before", 0, from);
		return judge("from then on", from, Double.MAX_VALUE);
	}

	private boolean judge(String when, double from, double to) {
		List<Sent> requests = this.all.stream().filter((sent) -> sent.seconds >= from && sent.seconds < to).toList();
		long late = requests.stream().filter((sent) -> sent.millis >= TIMEOUT_MILLIS).count();
		long missing = requests.stream().filter((sent) -> sent.millis >= TIMEOUT_MILLIS + SLACK_MILLIS).count();
		long never = requests.stream().filter((sent) -> "nothing".equals(sent.result)).count();
		this.fleet.record.note(when + ": requests=" + requests.size() + ", without an answer at the timeout=" + late
				+ ", half a second later=" + missing + ", at the deadline of the caller=" + never);
		return missing >= 8 && 2 * missing > late;
	}

	private void call(Gateway gateway) {
		Http.Connection connection = null;
		while (!this.stopped) {
			String id = "r" + this.ids.incrementAndGet();
			double seconds = this.fleet.record.seconds();
			long startNanos = System.nanoTime();
			String result;
			try {
				if (connection == null) {
					connection = Http.Connection.open(gateway.ip, gateway.port, DEADLINE_MILLIS);
				}
				connection.send("POST /book/" + id + " HTTP/1.1", Fleet.headers(id, DEADLINE_MILLIS, Fleet.KEY),
						new byte[600]);
				Http.Message answer = connection.receive();
				result = (answer != null) ? Integer.toString(answer.status()) : "closed";
			}
			catch (IOException ex) {
				result = (ex instanceof SocketTimeoutException) ? "nothing" : "reset";
			}
			long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			if (!result.matches("[0-9]+") && connection != null) {
				connection.close();
				connection = null;
			}
			this.all.add(new Sent(seconds, millis, result));
			this.fleet.record.write("sent", id, "machine=" + gateway.name + " result=" + result + " ms=" + millis);
			pause(200);
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
