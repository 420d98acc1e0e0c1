package org.burdocktray.bench.slopes;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.AsyncResult;
import org.burdocktray.model.NetworkAddress;

/**
 * Keeps a number of streams open at a router: each answer that ends is followed by the
 * next request. Thread safety: safe from any thread.
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
			next();
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

	private void next() {
		if (this.closed.get()) {
			return;
		}
		this.caller.callRouter(this.router, this.model, this.maxTokens, "w" + this.sequence.incrementAndGet())
			.onComplete(this::ended);
	}

	private void ended(AsyncResult<StreamCaller.StreamResult> answer) {
		if (answer.failed()) {
			// No next request: a router that refuses would be asked without a pause.
			this.failures.incrementAndGet();
			return;
		}
		this.requests.incrementAndGet();
		this.tokens.addAndGet(answer.result().tokens());
		next();
	}

	@Override
	public void close() {
		this.closed.set(true);
	}

}
