package review;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a sound replica of a plain service: it runs {@code slots} requests at the same time,
 * queues some, and rejects those beyond that with a promise.
 */
final class Replica implements AutoCloseable {

	private static final int QUEUE = 24;

	private static final AtomicLong SIGNATURES = new AtomicLong();

	final String id;

	final Http.Server server;

	final long bornMillis = System.currentTimeMillis();

	/** How long a request takes. */
	volatile long workMillis;

	private final Record record;

	private final int slots;

	private final Semaphore places;

	private final Semaphore running;

	Replica(String ip, String id, int slots, long workMillis, Record record) throws IOException {
		this.id = id;
		this.record = record;
		this.slots = slots;
		this.workMillis = workMillis;
		this.places = new Semaphore(slots + QUEUE);
		this.running = new Semaphore(slots, true);
		this.server = new Http.Server(ip, 0, this::handle);
	}

	String entry(String service, String zone, String state) {
		return "{\"service\":\"" + service + "\",\"address\":\"" + this.server.address() + "\",\"zone\":\"" + zone
				+ "\",\"version\":\"v1\",\"slots\":" + this.slots + ",\"state\":\"" + state
				+ "\",\"coldLeftMs\":0,\"sequence\":0,\"born\":" + this.bornMillis + "}";
	}

	private boolean handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("X-Burdocktray-Instance-Id", this.id);
		if ("/health".equals(request.target())) {
			connection.respond(200, headers, "");
			return true;
		}
		String requestId = request.header("x-burdocktray-request-id");
		String target = request.header("x-burdocktray-target-instance");
		if (target != null && !target.equals(this.id)) {
			headers.put("X-Burdocktray-Not-Executed", "1");
			connection.respond(421, headers, "");
			return true;
		}
		if (requestId == null || !this.places.tryAcquire()) {
			headers.put("X-Burdocktray-Not-Executed", "1");
			connection.respond((requestId == null) ? 400 : 503, headers, "");
			return true;
		}
		try {
			long deadlineMillis = Long.parseLong(request.headers().getOrDefault("x-burdocktray-deadline-ms", "60000"));
			headers.put("X-Burdocktray-Request-Id", requestId);
			if (!this.running.tryAcquire(deadlineMillis, TimeUnit.MILLISECONDS)) {
				headers.put("X-Burdocktray-Not-Executed", "1");
				connection.respond(503, headers, "");
				return true;
			}
			try {
				this.record.write("run", requestId, "replica=" + this.id + " bytes=" + request.body().length);
				Thread.sleep(this.workMillis);
			}
			finally {
				this.running.release();
			}
			headers.put("X-Burdocktray-Response-Signature", "s" + SIGNATURES.incrementAndGet());
			connection.respond(200, headers, "done " + requestId);
			return true;
		}
		finally {
			this.places.release();
		}
	}

	@Override
	public void close() {
		this.server.close();
	}

}
