package org.burdocktray.process.serve.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.request.forward.ForwardState;
import org.burdocktray.request.forward.ResponseTiming;

/**
 * Ends one request towards its caller and logs why. Invariants: a request that may have
 * run is not refused as not run; a response that has started is aborted, never completed
 * by an error. Thread safety: confined to one event loop.
 */
final class FinalResponse {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final double ENGINE_RETRY_AFTER_SECONDS = 1;

	private static final double SERVICE_RETRY_AFTER_SECONDS = 0.1;

	private static final String QUARANTINED = "request is quarantined";

	private static final String PART_QUARANTINED = "a part of the prompt is quarantined";

	private final GatewayMetrics metrics;

	private final AdmittedRequest admitted;

	private final CallerResponse callerResponse;

	private final ForwardState state;

	private final ResponseTiming timing;

	private String lastCause = "";

	FinalResponse(GatewayMetrics metrics, AdmittedRequest admitted, CallerResponse callerResponse, ForwardState state,
			ResponseTiming timing) {
		this.metrics = metrics;
		this.admitted = admitted;
		this.callerResponse = callerResponse;
		this.state = state;
		this.timing = timing;
	}

	/**
	 * Sets how the last attempt failed, for the log.
	 * @param cause the cause
	 */
	void setLastCause(String cause) {
		this.lastCause = cause;
	}

	void deliver(HttpClientResponse head, Buffer body, Replica replica, AnswerOrigin origin) {
		this.callerResponse.send(head, body);
		log(head.statusCode(), Verdict.RAN, "answered by " + replica.id(), origin);
	}

	void completeStream(HttpClientResponse head, Replica replica, AnswerOrigin origin) {
		if (!this.callerResponse.isStarted()) {
			this.callerResponse.startStream(head);
		}
		this.callerResponse.endStream();
		log(head.statusCode(), Verdict.RAN, "stream ended by " + replica.id(), origin);
	}

	void abortStream(String cause) {
		this.metrics.recordBrokenOffResponse();
		this.callerResponse.abort();
		log(0, Verdict.MAY_HAVE_RUN, "stream broken off: " + cause);
	}

	void recordDisconnect() {
		log(0, Verdict.MAY_HAVE_RUN, "caller went away");
	}

	void giveUp(String cause) {
		giveUp(cause, retryAfterSeconds());
	}

	void giveUp(String cause, double retryAfterSeconds) {
		end(SERVICE_UNAVAILABLE, BAD_GATEWAY, cause, retryAfterSeconds);
	}

	/**
	 * Passes on the refusal of a VM to which the request was relayed.
	 * @param refusal the refusal
	 */
	void passOn(RelayRefusal refusal) {
		boolean promisesNotRun = refusal.status() == SERVICE_UNAVAILABLE || refusal.status() == TOO_MANY_REQUESTS;
		end(refusal.status(), promisesNotRun ? BAD_GATEWAY : refusal.status(), refusal.cause(),
				refusal.retryAfterSeconds());
	}

	/** Gives a relayed request back, because this VM is cut off as well. */
	void giveBack() {
		String cause = "VM that relays is cut off";
		if (this.callerResponse.isStarted() || this.state.verdict() != Verdict.NOT_RUN) {
			giveUp(cause);
			return;
		}
		this.callerResponse.decline(cause, !this.state.isRetry());
		log(SERVICE_UNAVAILABLE, Verdict.NOT_RUN, cause);
	}

	void timeOut() {
		end(SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT, "time is up", retryAfterSeconds());
	}

	/**
	 * Ends the request because it, or a part of its prompt, crashed replicas before.
	 * @param refusal until when, and for what
	 * @param nowNanos the monotonic time
	 */
	void refuseQuarantined(QuarantineDecision.Refuse refusal, long nowNanos) {
		this.metrics.recordQuarantineRefusal();
		String cause = (refusal.culprit() == QuarantineDecision.Culprit.PROMPT_PART) ? PART_QUARANTINED : QUARANTINED;
		double remainingSeconds = (refusal.untilNanos() - nowNanos) / NANOS_PER_SECOND;
		end(TOO_MANY_REQUESTS, BAD_GATEWAY, cause, Math.max(1, remainingSeconds));
	}

	private void end(int notRunStatus, int otherStatus, String cause, double retryAfterSeconds) {
		if (this.callerResponse.isStarted()) {
			abortStream(cause);
			return;
		}
		int status = (this.state.verdict() == Verdict.NOT_RUN) ? notRunStatus : otherStatus;
		this.callerResponse.refuse(status, this.state.verdict(), cause, retryAfterSeconds);
		String lastAttempt = this.lastCause.isEmpty() ? "" : "; last attempt: " + this.lastCause;
		log(status, this.state.verdict(), cause + lastAttempt);
	}

	double retryAfterSeconds() {
		return this.admitted.service().engine().isPresent() ? ENGINE_RETRY_AFTER_SECONDS : SERVICE_RETRY_AFTER_SECONDS;
	}

	private void log(int status, Verdict verdict, String cause) {
		log(status, verdict, cause, AnswerOrigin.NONE);
	}

	private void log(int status, Verdict verdict, String cause, AnswerOrigin origin) {
		RequestEventLog.logEnded(this.admitted, status, verdict, cause, origin, this.timing);
	}

}
