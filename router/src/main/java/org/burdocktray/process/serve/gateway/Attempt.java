package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.request.forward.AttemptOutcome;

/**
 * One sending of a request to one replica. Invariants: it ends once, with a whole answer,
 * the end of a stream or a failure; after {@link #cancel} nothing is reported. Thread
 * safety: confined to one event loop.
 */
final class Attempt {

	private static final int MISDIRECTED = 421;

	private final GatewayContext context;

	private final ForwardedRequest request;

	private final Listener listener;

	private Target target;

	private Optional<HttpClientRequest> replicaRequest = Optional.empty();

	private Optional<HttpClientResponse> replicaResponse = Optional.empty();

	private boolean sent;

	private long sentNanos;

	private boolean streaming;

	private boolean ended;

	Attempt(GatewayContext context, ForwardedRequest request, Target target, Listener listener) {
		this.context = context;
		this.request = request;
		this.target = target;
		this.listener = listener;
	}

	void start() {
		this.target.recordSend(this.context.loads());
		this.context.connections()
			.open(this.target.replica(), this.request.method(), this.request.uri(), this.request.repeatable())
			.onSuccess(this::onConnected)
			.onFailure((cause) -> fail(AttemptOutcome.NOT_SENT, cause.toString(), Optional.empty()));
	}

	Target target() {
		return this.target;
	}

	/**
	 * Notes that the request passes through other engines from now on.
	 * @param next the new target, whose first engine is the present one
	 */
	void switchTarget(Target next) {
		if (this.ended) {
			return;
		}
		this.target.recordEnd(this.context.loads());
		this.target = next;
		this.target.recordSend(this.context.loads());
	}

	boolean isSent() {
		return this.sent;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	boolean isRunningOnEngines() {
		return this.sent && this.target.path().isPresent();
	}

	/** Ends the attempt without a report and closes its connection. */
	void cancel() {
		if (finish()) {
			this.replicaRequest.ifPresent(HttpClientRequest::reset);
		}
	}

	void pause() {
		this.replicaResponse.ifPresent(HttpClientResponse::pause);
	}

	void resume() {
		this.replicaResponse.ifPresent(HttpClientResponse::resume);
	}

	private void onConnected(HttpClientRequest opened) {
		this.replicaRequest = Optional.of(opened);
		if (this.ended) {
			opened.reset();
			return;
		}
		long remainingMillis = this.request.remainingMillis();
		if (remainingMillis <= 0 || !this.context.directory().isUsable(this.target.replica())) {
			opened.reset();
			fail(AttemptOutcome.NOT_SENT, "no time left or replica is leaving", Optional.empty());
			return;
		}
		ForwardHead added = new ForwardHead(this.target.replica(), remainingMillis, this.request.organisation(),
				this.target.path(), this.request.lastEventId());
		this.context.headers().writeForwardedRequest(this.request.headers(), added, opened.headers());
		opened.exceptionHandler((cause) -> fail(AttemptOutcome.LOST, cause.toString(), Optional.empty()));
		opened.response()
			.onSuccess(this::onResponse)
			.onFailure((cause) -> fail(AttemptOutcome.LOST, cause.toString(), Optional.empty()));
		this.sent = true;
		this.sentNanos = System.nanoTime();
		if (this.request.body().length() > 0) {
			opened.end(this.request.body());
		}
		else {
			opened.end();
		}
	}

	private void onResponse(HttpClientResponse answer) {
		if (this.ended) {
			return;
		}
		this.replicaResponse = Optional.of(answer);
		ResponseHead head = this.context.headers().readResponse(answer.statusCode(), answer.headers());
		boolean isOther = head.requestId().isPresent() && !head.requestId().equals(this.request.requestId());
		if (isOther) {
			failInvalidResponse("answer of another request");
			return;
		}
		if (head.notExecuted() || answer.statusCode() == MISDIRECTED) {
			answer.resume();
			fail(AttemptOutcome.REJECTED, "status " + answer.statusCode(), head.faultAddress());
			return;
		}
		if (!head.signed() || head.requestId().isEmpty()) {
			failInvalidResponse("answer without a signature: status " + answer.statusCode());
			return;
		}
		readResponse(answer);
	}

	private void readResponse(HttpClientResponse answer) {
		answer.exceptionHandler((cause) -> fail(AttemptOutcome.LOST, cause.toString(), Optional.empty()));
		this.streaming = this.request.streaming() && answer.statusCode() / 100 == 2;
		if (!this.streaming) {
			answer.body()
				.onSuccess((body) -> completeResponse(answer, body))
				.onFailure((cause) -> fail(AttemptOutcome.LOST, cause.toString(), Optional.empty()));
			return;
		}
		this.listener.onStreamStart(answer);
		answer.handler((bytes) -> {
			if (!this.ended) {
				this.listener.onStreamData(bytes);
			}
		});
		answer.endHandler((end) -> {
			if (finish()) {
				this.listener.onStreamEnd();
			}
		});
	}

	private void completeResponse(HttpClientResponse answer, Buffer body) {
		if (finish()) {
			this.listener.onResponse(answer, body);
		}
	}

	private void failInvalidResponse(String fault) {
		this.replicaRequest.ifPresent(HttpClientRequest::reset);
		fail(AttemptOutcome.LOST, fault, Optional.empty());
	}

	private void fail(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress) {
		if (finish()) {
			this.listener.onFailure(outcome, cause, faultAddress);
		}
	}

	private boolean finish() {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		this.target.recordEnd(this.context.loads());
		return true;
	}

	/**
	 * Takes what comes of an attempt.
	 */
	interface Listener {

		/**
		 * Takes in a whole answer.
		 * @param answer its head
		 * @param body its body
		 */
		void onResponse(HttpClientResponse answer, Buffer body);

		/**
		 * Takes in the head of a stream.
		 * @param answer the head
		 */
		void onStreamStart(HttpClientResponse answer);

		/**
		 * Takes in bytes of a stream.
		 * @param bytes the bytes
		 */
		void onStreamData(Buffer bytes);

		/** Takes in the proper end of a stream. */
		void onStreamEnd();

		/**
		 * Takes in that there is no answer to deliver.
		 * @param outcome what became of the request
		 * @param cause why
		 * @param faultAddress the engine at fault, where another one reports it
		 */
		void onFailure(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress);

	}

}
