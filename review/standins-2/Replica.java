import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica of a plain service. It runs a request for a fixed time and says in all its
 * answers when it leaves. Records each request that reaches it.
 */
final class Replica extends HttpServer {

	private static final int QUEUE_LENGTH = 24;

	private final Record record;

	private final Listener listener;

	private final String id;

	private final String service;

	private final String zone;

	private final int slots;

	private final long workMillis;

	private final long bornMillis = System.currentTimeMillis();

	private final AtomicInteger present = new AtomicInteger();

	private volatile boolean leaving;

	Replica(String ip, String id, String service, String zone, int slots, long workMillis, Record record,
			Listener listener) throws IOException {
		super(ip);
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.workMillis = workMillis;
		this.record = record;
		this.listener = listener;
	}

	/** Is told of requests that run. */
	interface Listener {

		void onRun(Replica replica, Http.Message request);

	}

	String id() {
		return this.id;
	}

	String zone() {
		return this.zone;
	}

	Map<String, Object> entry(String state) {
		return Json.object("service", this.service, "address", address(), "zone", this.zone, "version", "v1", "slots",
				this.slots, "state", state, "coldLeftMs", 0, "sequence", 1, "born", this.bornMillis);
	}

	/** From now on all answers say that the replica leaves. */
	void leave() {
		this.leaving = true;
	}

	@Override
	byte[] handle(Http.Message request, Socket socket) throws InterruptedException {
		Map<String, String> headers = new LinkedHashMap<>();
		String requestId = request.header("X-Burdocktray-Request-Id");
		if (requestId != null) {
			headers.put("X-Burdocktray-Request-Id", requestId);
		}
		if (request.target().equals("/health")) {
			headers.put("X-Burdocktray-Instance-Id", this.id);
			return answer(this.leaving ? 503 : 200, headers, "");
		}
		if (requestId == null) {
			return answer(404, headers, "");
		}
		String expected = request.header("X-Burdocktray-Target-Instance");
		if (expected != null && !expected.equals(this.id)) {
			headers.put("X-Burdocktray-Instance-Id", this.id);
			return answer(421, headers, "");
		}
		if (this.present.get() >= this.slots + QUEUE_LENGTH) {
			headers.put("X-Burdocktray-Not-Executed", "1");
			return answer(503, headers, "");
		}
		this.present.incrementAndGet();
		try {
			this.listener.onRun(this, request);
			this.record.add("%s runs %s leaving=%b", this.id, requestId, this.leaving);
			Thread.sleep(this.workMillis);
		}
		finally {
			this.present.decrementAndGet();
		}
		headers.put("X-Burdocktray-Response-Signature", "s." + this.id + "." + requestId);
		return answer(200, headers, "done by " + this.id);
	}

	private byte[] answer(int status, Map<String, String> headers, String body) {
		if (this.leaving) {
			headers.put("Server-Leaving", "1");
			headers.put("Connection", "close");
		}
		return Http.response(status, headers, body.getBytes());
	}

}
