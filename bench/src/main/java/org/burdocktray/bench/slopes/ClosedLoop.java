package org.burdocktray.bench.slopes;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.AsyncResult;
import org.burdocktray.model.NetworkAddress;

/**
 * Generates closed-loop load: keeps a fixed number of streams open at a router by sending
 * the next request when a response ends. Thread safety: thread-safe.
 */
final class ClosedLoop implements AutoCloseable {

	private final StreamCaller caller;

	private final NetworkAddress router;

	private final String model;

	private final int maxTokens;

	private final AtomicLong requests = new AtomicLong();

	private final AtomicLong tokens = new AtomicLong();

	private final AtomicLong failures = new AtomicLong();

	private final AtomicLong sequence = new AtomicLong();

	private final AtomicBoolean closed = new AtomicBoolean();

	ClosedLoop(StreamCaller caller, NetworkAddress router, String model, int maxTokens) {
		this.caller = caller;
		this.router = router;
		this.model = model;
		this.maxTokens = maxTokens;
	}

	ClosedLoop start(int streams) {
		for (int stream = 0; stream < streams; stream++) {
			sendNext();
		}
		return this;
	}

	long requests() {
		return this.requests.get();
	}

	long tokens() {
		return this.tokens.get();
	}

	long failures() {
		return this.failures.get();
	}

	private void sendNext() {
		if (this.closed.get()) {
			return;
		}
		this.caller.callRouter(this.router, this.model, this.maxTokens, "w" + this.sequence.incrementAndGet())
			.onComplete(this::onCompleted);
	}

	private void onCompleted(AsyncResult<StreamCaller.StreamResult> outcome) {
		if (outcome.failed()) {
			// Sends no further request: a router that refuses requests would otherwise
			// receive them without a pause.
			this.failures.incrementAndGet();
			return;
		}
		this.requests.incrementAndGet();
		this.tokens.addAndGet(outcome.result().tokens());
		sendNext();
	}

	@Override
	public void close() {
		this.closed.set(true);
	}

}
