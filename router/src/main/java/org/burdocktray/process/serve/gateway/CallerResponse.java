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
 * The HTTP response to one caller. Invariants: a caller can tell an incomplete response
 * from a complete one, because an aborted stream ends with the close of its connection; a
 * connection is closed only after all that was written to it has been sent, and after a
 * complete response only when the request has been read to its end. Thread safety:
 * confined to one event loop.
 */
final class CallerResponse {

	/**
	 * Used when another VM can take the request at once; a caller that retries reaches
	 * another VM.
	 */
	static final double OTHER_VM_RETRY_AFTER_SECONDS = 0.02;

	private static final int SERVICE_UNAVAILABLE = 503;

	/** The shortest time that the header can express. */
	private static final double MIN_RETRY_AFTER_SECONDS = 0.01;

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final HeaderCodec headers;

	private final GatewayMetrics metrics;

	private final BooleanSupplier stopping;

	/** Whether the caller is a VM that has relayed the request. */
	private final boolean relayed;

	private Runnable disconnectListener = () -> {
	};

	private Runnable closeListener = () -> {
	};

	private boolean started;

	private boolean ended;

	CallerResponse(HttpServerRequest request, HeaderCodec headers, GatewayMetrics metrics, BooleanSupplier stopping,
			boolean relayed) {
		this.relayed = relayed;
		this.request = request;
		this.response = request.response();
		this.headers = headers;
		this.metrics = metrics;
		this.stopping = stopping;
		this.response.exceptionHandler((cause) -> handleDisconnect());
		this.response.closeHandler((closed) -> {
			handleDisconnect();
			this.closeListener.run();
		});
	}

	/**
	 * Sets the action for a caller that goes away before its response has ended.
	 * @param action the action
	 */
	void onDisconnect(Runnable action) {
		this.disconnectListener = action;
	}

	/**
	 * Sets the action for the end of the response: it is sent to its last byte, or the
	 * connection is closed.
	 * @param action the action, which may run more than once
	 */
	void onClosed(Runnable action) {
		this.closeListener = action;
	}

	boolean isStarted() {
		return this.started;
	}

	void send(HttpClientResponse head, Buffer body) {
		closeOnFault(() -> {
			start(head);
			this.metrics.recordRequest(head.statusCode(), Verdict.RAN.wireName());
			this.ended = true;
			end(body);
		});
	}

	void startStream(HttpClientResponse head) {
		closeOnFault(() -> {
			start(head);
			this.response.setChunked(true);
		});
	}

	/**
	 * Writes events to the stream.
	 * @param events complete events
	 * @param resume called when the write queue has drained, if it is full now
	 * @return whether more can be written now
	 */
	boolean write(Buffer events, Runnable resume) {
		this.metrics.recordSentBytes(events.length());
		this.response.write(events);
		if (!this.response.writeQueueFull()) {
			return true;
		}
		this.response.drainHandler((drained) -> resume.run());
		return false;
	}

	void endStream() {
		this.metrics.recordRequest(this.response.getStatusCode(), Verdict.RAN.wireName());
		this.ended = true;
		end(Buffer.buffer());
	}

	void refuse(int status, Verdict verdict, String cause, double retryAfterSeconds) {
		this.started = true;
		this.ended = true;
		this.metrics.recordRequest(status, verdict.wireName());
		this.response.setStatusCode(status);
		this.response.putHeader(HttpHeaders.CONTENT_TYPE, "application/problem+json");
		if (verdict == Verdict.NOT_RUN && retryAfterSeconds > 0) {
			this.response.putHeader("Retry-After",
					String.format(Locale.ROOT, "%.2f", Math.max(MIN_RETRY_AFTER_SECONDS, retryAfterSeconds)));
		}
		if (this.relayed) {
			RelayHeaders.writeVerdict(verdict, this.response.headers());
		}
		JsonObject problem = new JsonObject().put("status", status).put("detail", cause).put("ran", verdict.wireName());
		end(problem.toBuffer());
	}

	/**
	 * Refuses a relayed request that has not run, so that the VM that sent it selects
	 * another one.
	 * @param cause the reason
	 * @param isUnsent whether no replica has received the request
	 */
	void decline(String cause, boolean isUnsent) {
		RelayHeaders.writeDeclined(isUnsent, this.response.headers());
		refuse(SERVICE_UNAVAILABLE, Verdict.NOT_RUN, cause, 0);
	}

	/**
	 * Refuses the request because the process stops, if its body is still being read.
	 */
	void refuseUnread() {
		if (!this.started && !this.ended) {
			refuse(SERVICE_UNAVAILABLE, Verdict.NOT_RUN, "VM is stopping", OTHER_VM_RETRY_AFTER_SECONDS);
		}
	}

	void abort() {
		this.ended = true;
		this.metrics.recordRequest(this.response.getStatusCode(), Verdict.MAY_HAVE_RUN.wireName());
		close();
	}

	// A caller whose response cannot be written must not wait for it.
	private void closeOnFault(Runnable write) {
		try {
			write.run();
		}
		catch (RuntimeException ex) {
			RequestEventLog.logInternalFault(ex);
			close();
		}
	}

	private void start(HttpClientResponse head) {
		this.started = true;
		this.response.setStatusCode(head.statusCode());
		this.response.setStatusMessage(head.statusMessage());
		this.headers.writeResponse(head.headers(), this.response.headers());
		if (this.stopping.getAsBoolean()) {
			this.response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
		}
	}

	private void end(Buffer body) {
		// A close that the head has not announced would cross the caller's next request.
		boolean closesConnection = this.stopping.getAsBoolean() && !this.response.headWritten();
		if (closesConnection) {
			this.response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
		}
		this.metrics.recordSentBytes(body.length());
		this.response.end(body)
			.onFailure((cause) -> RequestEventLog.logResponseNotWritten(this.response.getStatusCode(), cause))
			.onComplete((written) -> {
				if (closesConnection) {
					closeAfterRequest();
					return;
				}
				this.closeListener.run();
			});
	}

	// Closing a connection with unread bytes resets it, and the caller loses the
	// response.
	private void closeAfterRequest() {
		if (this.request.isEnded()) {
			close();
			return;
		}
		this.request.endHandler((end) -> close());
	}

	private void close() {
		this.request.connection().close().onComplete((closed) -> this.closeListener.run());
	}

	private void handleDisconnect() {
		if (!this.ended) {
			this.ended = true;
			this.disconnectListener.run();
		}
	}

}
