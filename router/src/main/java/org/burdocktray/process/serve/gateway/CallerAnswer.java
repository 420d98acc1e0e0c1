package org.burdocktray.process.serve.gateway;

import java.util.Locale;
import java.util.function.BooleanSupplier;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.burdocktray.model.Verdict;

/**
 * The answer to one caller. Invariant: an answer that is not whole never looks whole: a
 * stream that breaks off ends with its connection. Thread safety: confined to one event
 * loop.
 */
final class CallerAnswer {

	/** When another VM can take the request at once; callers come back to another one. */
	static final double OTHER_VM_RETRY_AFTER_SECONDS = 0.02;

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final HeaderCodec headers;

	private final GatewayMetrics metrics;

	private final BooleanSupplier stopping;

	private boolean begun;

	private boolean done;

	CallerAnswer(HttpServerRequest request, HeaderCodec headers, GatewayMetrics metrics, BooleanSupplier stopping) {
		this.request = request;
		this.response = request.response();
		this.headers = headers;
		this.metrics = metrics;
		this.stopping = stopping;
	}

	void onCallerGone(Runnable action) {
		this.response.exceptionHandler((cause) -> gone(action));
		this.response.closeHandler((closed) -> gone(action));
	}

	boolean isBegun() {
		return this.begun;
	}

	void deliver(HttpClientResponse head, Buffer body) {
		begin(head);
		this.metrics.requestEnded(head.statusCode(), Verdict.RAN.wireName());
		this.done = true;
		endWith(body);
	}

	void beginStream(HttpClientResponse head) {
		begin(head);
		this.response.setChunked(true);
	}

	/**
	 * Writes to a stream.
	 * @param events whole events
	 * @param resume runs once the caller has read on
	 * @return whether the caller keeps up
	 */
	boolean write(Buffer events, Runnable resume) {
		this.response.write(events);
		if (!this.response.writeQueueFull()) {
			return true;
		}
		this.response.drainHandler((drained) -> resume.run());
		return false;
	}

	void endStream() {
		this.metrics.requestEnded(this.response.getStatusCode(), Verdict.RAN.wireName());
		this.done = true;
		endWith(Buffer.buffer());
	}

	void refuse(int status, Verdict verdict, String cause, double retryAfterSeconds) {
		this.begun = true;
		this.done = true;
		this.metrics.requestEnded(status, verdict.wireName());
		this.response.setStatusCode(status);
		this.response.putHeader(HttpHeaders.CONTENT_TYPE, "application/problem+json");
		if (verdict == Verdict.NOT_RUN && retryAfterSeconds > 0) {
			this.response.putHeader("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
		}
		JsonObject problem = new JsonObject().put("status", status).put("detail", cause).put("ran", verdict.wireName());
		endWith(problem.toBuffer());
	}

	void breakOff() {
		this.done = true;
		this.metrics.requestEnded(this.response.getStatusCode(), Verdict.MAY_HAVE_RUN.wireName());
		this.request.connection().close();
	}

	private void begin(HttpClientResponse head) {
		this.begun = true;
		this.response.setStatusCode(head.statusCode());
		this.response.setStatusMessage(head.statusMessage());
		this.headers.writeReply(head.headers(), this.response.headers());
		if (this.stopping.getAsBoolean()) {
			this.response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
		}
	}

	private void endWith(Buffer body) {
		boolean closes = this.stopping.getAsBoolean();
		if (closes && !this.response.headWritten()) {
			this.response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
		}
		this.response.end(body).onComplete((written) -> {
			if (closes) {
				this.request.connection().close();
			}
		});
	}

	private void gone(Runnable action) {
		if (!this.done) {
			this.done = true;
			action.run();
		}
	}

}
