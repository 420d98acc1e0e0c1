import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends requests through all gateways, and counts those that reach a replica later than
 * drainMs after the store has acknowledged that it leaves. Counts also those of them that
 * are lost when the replica exits.
 */
final class LeavingCheck {

	static final long DRAIN_MILLIS = 2_000;

	/** Time for a request on its way, and for the clocks of this program. */
	private static final long TOLERANCE_MILLIS = 100;

	private static final long DEADLINE_MILLIS = 4_000;

	private final Record record;

	private final Map<String, Long> acknowledgedMillis = new ConcurrentHashMap<>();

	private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();

	private final Map<String, String> lateRequests = new ConcurrentHashMap<>();

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger unanswered = new AtomicInteger();

	private final AtomicInteger lateAndLost = new AtomicInteger();

	private volatile Contact contact = (gateway, sendMillis) -> true;

	private volatile boolean ended;

	LeavingCheck(Record record) {
		this.record = record;
	}

	/** Tells whether a machine was in touch when a request was sent to it. */
	interface Contact {

		boolean isInTouch(String gateway, long sendMillis);

	}

	void setInTouch(Contact next) {
		this.contact = next;
	}

	/** Records that the store has acknowledged that a replica leaves, and ends it later. */
	void leaves(Store store, Replica replica, String state, long servesMillis) {
		this.acknowledgedMillis.put(replica.id(), Record.millis());
		this.record.add("store acknowledges: %s is %s", replica.id(), state);
		HttpServer.thread(() -> {
			try {
				Thread.sleep(servesMillis);
				replica.kill();
				store.remove("servers", replica.id());
				this.record.add("%s has exited", replica.id());
			}
			catch (IOException | InterruptedException ex) {
				this.record.add("%s: %s", replica.id(), ex);
			}
		});
	}

	void sendRequests(Gateway gateway, long betweenMillis) {
		Caller caller = new Caller(this.record, Fleet.HOST, Fleet.KEY);
		HttpServer.thread(() -> {
			while (!this.ended) {
				HttpServer.thread(() -> sendRequest(caller, gateway));
				try {
					Thread.sleep(betweenMillis);
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		});
	}

	private void sendRequest(Caller caller, Gateway gateway) {
		this.sent.incrementAndGet();
		String path = Fleet.PATH + this.sent.get();
		this.sentMillis.put(path, Record.millis());
		Caller.Answer answer = caller.send(gateway, "POST", path, new byte[100], DEADLINE_MILLIS);
		if (answer.status() == 200) {
			return;
		}
		this.unanswered.incrementAndGet();
		if (this.lateRequests.containsKey(path)) {
			this.lateAndLost.incrementAndGet();
			this.record.add("LOST %s: ran at a leaving replica, status=%d", answer.requestId(), answer.status());
		}
	}

	void onRun(Replica replica, Http.Message request) {
		Long acknowledged = this.acknowledgedMillis.get(replica.id());
		if (acknowledged == null) {
			return;
		}
		long lateMillis = Record.millis() - acknowledged;
		Long sendMillis = this.sentMillis.get(request.target());
		boolean isLate = lateMillis > DRAIN_MILLIS + TOLERANCE_MILLIS && sendMillis != null
				&& this.contact.isInTouch(request.header("X-Case-Gateway"), sendMillis);
		this.record.add("%s%s reaches %s %d ms after the acknowledgement, from %s", isLate ? "LATE " : "",
				request.header("X-Burdocktray-Request-Id"), replica.id(), lateMillis,
				request.header("X-Case-Gateway"));
		if (isLate) {
			this.lateRequests.put(request.target(), replica.id());
		}
	}

	void end() {
		this.ended = true;
	}

	/** Returns the exit status of the case: 1 if the rule was broken. */
	int report() {
		this.record.add("requests=%d withoutSuccess=%d lateAtLeavingReplicas=%d lateAndLost=%d", this.sent.get(),
				this.unanswered.get(), this.lateRequests.size(), this.lateAndLost.get());
		return this.lateRequests.isEmpty() ? 0 : 1;
	}

}
