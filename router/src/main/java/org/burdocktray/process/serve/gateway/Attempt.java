package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.OptionalInt;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.StreamOutputs;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.request.forward.EventTooLargeException;

/**
 * One attempt to send a request to one replica. Invariants: an attempt ends exactly once,
 * with a complete response, the end of a stream or a failure; after {@link #cancel} the
 * listener is not called. Thread safety: confined to one event loop.
 */
final class Attempt {

	private static final int MISDIRECTED = 421;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final double NANOS_PER_MILLI = 1e6;

	/**
	 * Timers one after the other until the event loop has read all connections once more:
	 * a timer that is set while connections are read may run before the next pass.
	 */
	private static final int TIMERS_UNTIL_ALL_READ = 2;

	private final GatewayContext context;

	private final ForwardedRequest request;

	private Listener listener;

	private Target target;

	private Optional<HttpClientRequest> replicaRequest = Optional.empty();

	private Optional<HttpClientResponse> replicaResponse = Optional.empty();

	private AnswerOrigin answerOrigin = AnswerOrigin.NONE;

	private Optional<StreamOutputs.OpenStream> openStream = Optional.empty();

	private boolean sent;

	private long sentNanos;

	private boolean streaming;

	private boolean paused;

	private boolean ended;

	Attempt(GatewayContext context, ForwardedRequest request, Target target, Listener listener) {
		this.context = context;
		this.request = request;
		this.target = target;
		this.listener = listener;
	}

	void start() {
		this.target.recordSend(this.context.loads());
		this.context.limits().recordRequest(this.target.replica());
		long startNanos = System.nanoTime();
		this.context.connections()
			.open(this.target.replica(), this.request.method(), this.request.uri(),
					this.request.repeatable() ? this.request.requestId() : Optional.empty())
			.onSuccess(this::onConnected)
			.onFailure((cause) -> failUnreached(AttemptOutcome.NOT_SENT, cause, startNanos));
	}

	Target target() {
		return this.target;
	}

	/**
	 * Records that the request passes through other engines from now on.
	 * @param next the new target; its first engine is that of the current target
	 */
	void switchTarget(Target next) {
		if (this.ended) {
			return;
		}
		endOpenStream();
		this.target.recordEnd(this.context.loads());
		this.target = next;
		this.target.recordSend(this.context.loads());
	}

	/**
	 * Sets who receives the results from now on.
	 * @param next the listener
	 */
	void setListener(Listener next) {
		this.listener = next;
	}

	boolean isSent() {
		return this.sent;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	/**
	 * Returns which answer was read, for logs.
	 * @return its origin, {@link AnswerOrigin#NONE} before one has come
	 */
	AnswerOrigin answerOrigin() {
		return this.answerOrigin;
	}

	boolean isRunningOnEngines() {
		return this.sent && this.target.path().isPresent();
	}

	/** Ends the attempt without calling the listener, and closes its connection. */
	void cancel() {
		if (finish()) {
			this.replicaRequest.ifPresent(HttpClientRequest::reset);
		}
	}

	void pause() {
		this.paused = true;
		endOpenStream();
		this.replicaResponse.ifPresent(HttpClientResponse::pause);
	}

	void resume() {
		this.paused = false;
		this.replicaResponse.ifPresent(HttpClientResponse::resume);
	}

	/**
	 * Returns whether this VM reads nothing from the replica at present, because the
	 * caller does not read either.
	 * @return true between {@link #pause} and {@link #resume}
	 */
	boolean isPaused() {
		return this.paused;
	}

	private void onConnected(HttpClientRequest clientRequest) {
		this.replicaRequest = Optional.of(clientRequest);
		sendWhenCallerWasRead(clientRequest,
				this.context.eventLoopDelay().isLate(System.nanoTime()) ? TIMERS_UNTIL_ALL_READ : 0);
	}

	// The caller may have left while the event loop was held up.
	private void sendWhenCallerWasRead(HttpClientRequest clientRequest, int remainingTimers) {
		if (remainingTimers == 0) {
			send(clientRequest);
			return;
		}
		this.context.vertx().setTimer(1, (timer) -> sendWhenCallerWasRead(clientRequest, remainingTimers - 1));
	}

	private void send(HttpClientRequest clientRequest) {
		if (this.ended) {
			clientRequest.reset();
			return;
		}
		long remainingMillis = this.request.remainingMillis();
		if (remainingMillis <= 0 || !mayReceive(this.target)) {
			clientRequest.reset();
			fail(AttemptOutcome.NOT_SENT, "no time left, or the replica leaves or asks for a pause", Optional.empty());
			return;
		}
		writeHead(clientRequest, remainingMillis);
		clientRequest.exceptionHandler((cause) -> failUnreached(AttemptOutcome.LOST, cause, System.nanoTime()));
		clientRequest.response()
			.onSuccess(this::onResponse)
			.onFailure((cause) -> failUnreached(AttemptOutcome.LOST, cause, System.nanoTime()));
		this.listener.onSend();
		this.sent = true;
		this.sentNanos = System.nanoTime();
		this.context.metrics().recordSentBytes(this.request.body().length());
		if (this.request.body().length() > 0) {
			clientRequest.end(this.request.body());
		}
		else {
			clientRequest.end();
		}
	}

	// The replica may have left, or asked for a pause, while the connection was opened.
	private boolean mayReceive(Target receiver) {
		return receiver.isRelay() || (this.context.directory().isUsable(receiver.replica())
				&& !this.context.limits().isPaused(receiver.replica()));
	}

	private void writeHead(HttpClientRequest clientRequest, long remainingMillis) {
		if (this.target.isRelay()) {
			this.context.headers()
				.writeRelayedRequest(this.request.headers(), remainingMillis, this.request.lastEventId(),
						clientRequest.headers());
			this.context.relayKey()
				.value()
				.ifPresent((key) -> RelayHeaders.write(key, this.request.relay(), clientRequest.headers()));
			return;
		}
		OptionalInt priority = this.request.priority()
			.map((rank) -> OptionalInt.of(rank.value(this.request.lastEventId().isPresent())))
			.orElse(OptionalInt.empty());
		ForwardHead forwardHead = new ForwardHead(this.target.replica(), remainingMillis, this.request.organisation(),
				this.target.path(), this.request.lastEventId(), priority);
		this.context.headers().writeForwardedRequest(this.request.headers(), forwardHead, clientRequest.headers());
	}

	private void onResponse(HttpClientResponse response) {
		if (this.ended) {
			return;
		}
		this.replicaResponse = Optional.of(response);
		if (this.target.isRelay()) {
			onRelayedResponse(response);
			return;
		}
		ResponseHead head = readHead(response);
		if (!isIdentified(response, head)) {
			failUnidentified(response, head);
			return;
		}
		this.context.contacts().record(this.target.replica(), System.nanoTime());
		this.context.limits().recordResponse(this.target.replica(), head);
		handleIdentified(response, head);
	}

	private void onRelayedResponse(HttpClientResponse response) {
		Optional<RelayRefusal> refusal = RelayHeaders.readRefusal(response.statusCode(), response.headers());
		if (refusal.isEmpty()) {
			ResponseHead head = readHead(response);
			if (isIdentified(response, head)) {
				handleIdentified(response, head);
			}
			else {
				failUnidentified(response, head);
			}
			return;
		}
		this.context.connections().responses().discard(response);
		if (refusal.get().isDeclined()) {
			fail(refusal.get().outcome(), refusal.get().cause(), Optional.empty());
		}
		else if (finish()) {
			this.listener.onRefusal(refusal.get());
		}
	}

	private ResponseHead readHead(HttpClientResponse response) {
		ResponseHead head = this.context.headers().readResponse(response.statusCode(), response.headers());
		this.answerOrigin = AnswerOrigin.of(response, head.signature());
		return head;
	}

	// Without an id, an answer may be a second one to an earlier request.
	private boolean isIdentified(HttpClientResponse response, ResponseHead head) {
		if (head.requestId().isPresent()) {
			return head.requestId().equals(this.request.requestId());
		}
		return !this.context.connections().hasCarriedOthers(response.request().connection());
	}

	private void failUnidentified(HttpClientResponse response, ResponseHead head) {
		if (head.requestId().isEmpty()) {
			failInvalidResponse("answer without a request id: status " + response.statusCode());
			return;
		}
		this.context.metrics().recordForeignAnswer(this.target.replica().service());
		failInvalidResponse("answer of another request: " + AnswerOrigin.shorten(head.requestId().get()));
	}

	private void handleIdentified(HttpClientResponse response, ResponseHead head) {
		if (head.notExecuted() || response.statusCode() == MISDIRECTED) {
			this.context.connections().responses().discard(response);
			fail(AttemptOutcome.REJECTED, "status " + response.statusCode(), head.faultAddress());
			return;
		}
		if (!head.signed() || head.requestId().isEmpty()) {
			failInvalidResponse("answer without a signature: status " + response.statusCode());
			return;
		}
		readResponse(response);
	}

	private void readResponse(HttpClientResponse response) {
		this.streaming = this.request.streaming() && response.statusCode() / 100 == 2;
		if (!this.streaming) {
			this.context.connections()
				.responses()
				.readBody(response)
				.onSuccess((body) -> completeResponse(response, body))
				.onFailure((cause) -> fail(AttemptOutcome.LOST, cause.toString(), Optional.empty()));
			return;
		}
		response.exceptionHandler((cause) -> fail(AttemptOutcome.LOST, cause.toString(), Optional.empty()));
		this.listener.onStreamStart(response);
		response.handler((bytes) -> readStreamData(response, bytes));
		response.endHandler((end) -> {
			if (finish()) {
				this.listener.onStreamEnd();
			}
		});
	}

	private void readStreamData(HttpClientResponse response, Buffer bytes) {
		if (this.ended) {
			return;
		}
		if (!this.target.isRelay()) {
			this.context.contacts().record(this.target.replica(), System.nanoTime());
		}
		recordOutput();
		try {
			this.listener.onStreamData(bytes);
		}
		catch (EventTooLargeException ex) {
			this.context.connections().responses().giveUp(response.request(), ex.getMessage());
			fail(AttemptOutcome.LOST, ex.getMessage(), Optional.empty());
		}
	}

	private void recordOutput() {
		if (this.target.path().isEmpty()) {
			return;
		}
		long nowNanos = System.nanoTime();
		if (this.openStream.isEmpty()) {
			this.openStream = Optional.of(this.context.outputs().open(this.target.replicas(), nowNanos));
			return;
		}
		this.openStream.get().recordOutput(nowNanos);
	}

	private void endOpenStream() {
		this.openStream.ifPresent(StreamOutputs.OpenStream::end);
		this.openStream = Optional.empty();
	}

	private void completeResponse(HttpClientResponse response, Buffer body) {
		if (finish()) {
			recordPlainResult(response.statusCode() >= FIRST_SERVER_ERROR);
			this.listener.onResponse(response, body);
		}
	}

	/**
	 * Records that the replica has not responded within the time that it was given.
	 */
	void recordUnresponsive() {
		if (!this.ended) {
			recordLoss();
		}
	}

	// While this VM reaches no replica, losses say nothing about a single one.
	private void recordLoss() {
		if (this.sent && !this.context.reach().isCutOff()) {
			recordPlainResult(true);
		}
	}

	private void recordPlainResult(boolean isFailure) {
		if (this.context.routes().isEmpty() || this.target.isRelay() || this.target.path().isPresent()) {
			return;
		}
		long nowNanos = System.nanoTime();
		this.context.replicaTimes()
			.record(this.target.replica(), (nowNanos - this.sentNanos) / NANOS_PER_MILLI, isFailure, nowNanos);
	}

	private void failInvalidResponse(String cause) {
		this.replicaRequest.ifPresent(HttpClientRequest::reset);
		fail(AttemptOutcome.LOST, cause, Optional.empty());
	}

	private void failUnreached(AttemptOutcome outcome, Throwable cause, long startNanos) {
		if (!this.ended && !this.target.isRelay()) {
			this.context.reach().recordFailure(startNanos);
		}
		fail(outcome, cause.toString(), Optional.empty());
	}

	private void fail(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress) {
		if (finish()) {
			if (outcome == AttemptOutcome.LOST) {
				recordLoss();
			}
			this.listener.onFailure(outcome, cause, faultAddress);
		}
	}

	private boolean finish() {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		endOpenStream();
		this.target.recordEnd(this.context.loads());
		return true;
	}

	/**
	 * Receives the result of an attempt.
	 */
	interface Listener {

		/** Is called once, before the request is sent. */
		void onSend();

		/**
		 * Handles a complete response.
		 * @param head the status and headers of the response
		 * @param body its body
		 */
		void onResponse(HttpClientResponse head, Buffer body);

		/**
		 * Handles the refusal of a VM to which the request was relayed.
		 * @param refusal the refusal
		 */
		void onRefusal(RelayRefusal refusal);

		/**
		 * Handles the start of a stream.
		 * @param head the status and headers of the response
		 */
		void onStreamStart(HttpClientResponse head);

		/**
		 * Handles data of a stream.
		 * @param bytes the next bytes, which may end within an event
		 * @throws EventTooLargeException if the stream is not one of events
		 */
		void onStreamData(Buffer bytes);

		/** Handles the regular end of a stream. */
		void onStreamEnd();

		/**
		 * Handles the end of an attempt that has no response to deliver.
		 * @param outcome the outcome, which states whether the request may have run
		 * @param cause the reason, for logs and the response to the caller
		 * @param faultAddress the address of the engine at fault, if another engine
		 * reported it
		 */
		void onFailure(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress);

	}

}
