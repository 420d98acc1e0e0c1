package org.burdocktray.process.serve;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.http.HttpServerResponse;
import org.burdocktray.model.Refusal;
import org.burdocktray.process.quarantine.RunOutcome;
import org.burdocktray.request.admission.AdmissionPermit;
import org.burdocktray.request.stream.StreamAction;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Objective;

/**
 * Connects the stream of one chat request to its caller: forwards tokens and records
 * metrics, objective events and the log entry. Invariant: the exchange ends exactly once;
 * its end releases the admission permit, and the completion callback runs once the
 * response is written. Thread safety: confined to the event loop of the request.
 */
final class ChatExchange implements StreamDriver.Listener {

	private final RequestScope scope;

	private final HttpServerResponse response;

	private final RequestServices services;

	private final CrashGuard crashGuard;

	private final Runnable completion;

	private ChatResponseWriter responseWriter;

	private AdmissionPermit permit = (tokens) -> {
	};

	private String model = "";

	private List<String> upstreams = List.of();

	private int attempts;

	private int tokenCount;

	private long lastTokenNanos;

	private boolean failureSinceLastToken;

	private boolean ended;

	ChatExchange(RequestScope scope, HttpServerResponse response, RequestServices services, CrashGuard crashGuard,
			Runnable completion) {
		this.scope = scope;
		this.response = response;
		this.services = services;
		this.crashGuard = crashGuard;
		this.completion = completion;
		this.responseWriter = new BufferedChatResponseWriter(response, scope.requestId(), "");
		this.lastTokenNanos = scope.startNanos();
	}

	HttpServerResponse response() {
		return this.response;
	}

	void setPermit(AdmissionPermit admissionPermit) {
		this.permit = admissionPermit;
	}

	void setResponseWriter(ChatResponseWriter writer, String modelName) {
		this.responseWriter = writer;
		this.model = modelName;
	}

	void refuse(Refusal refusal) {
		onFail(refusal, 0);
	}

	@Override
	public void onAttempt(List<Engine> stages) {
		this.upstreams = stages.stream().map(Engine::name).toList();
		this.crashGuard.startRun(stages);
		if (this.attempts++ == 0) {
			this.services.retryBudgets()
				.recordFirstAttempt(this.scope.organisation().name(), this.upstreams,
						this.services.retryParameters(this.scope), System.nanoTime());
		}
	}

	@Override
	public boolean onToken(String text) {
		long nowNanos = System.nanoTime();
		long elapsedNanos = nowNanos - this.lastTokenNanos;
		this.lastTokenNanos = nowNanos;
		if (this.tokenCount == 0) {
			this.services.metrics().recordFirstToken(elapsedNanos);
			recordObjectiveEvent(Objective.Kind.FIRST_TOKEN, elapsedNanos);
		}
		else {
			recordObjectiveEvent(Objective.Kind.BETWEEN_TOKENS, elapsedNanos);
		}
		this.services.metrics().recordNextToken(this.model, elapsedNanos);
		this.tokenCount++;
		this.crashGuard.recordToken(nowNanos);
		recordRecovery(elapsedNanos);
		return this.responseWriter.writeToken(text);
	}

	@Override
	public void onUpstreamFailure(String upstreamName) {
		this.failureSinceLastToken = true;
		this.services.retryBudgets().recordAttemptResult(this.model, true, System.nanoTime());
		this.services.recordUpstreamFailure(upstreamName);
	}

	@Override
	public void onUpstreamLeaving(String upstreamName) {
		this.services.leavingListener().accept(upstreamName);
	}

	@Override
	public void onComplete(StreamAction.Complete complete) {
		if (!tryEnd(RunOutcome.SUCCEEDED)) {
			return;
		}
		this.responseWriter.complete(complete.finishReason(), complete.promptTokens(), complete.completionTokens())
			.onComplete((written) -> this.completion.run());
		this.services.metrics().recordRequestAnswered(ChatHandler.kind());
		this.services.monitor().recordSuccess(this.upstreams);
		this.services.retryBudgets().recordAttemptResult(this.model, false, System.nanoTime());
		recordObjectiveEvent(Objective.Kind.AVAILABILITY, 0);
		RequestLog.logAnswered(this.scope, ChatHandler.kind(), String.join(",", this.upstreams), elapsedMillis());
	}

	@Override
	public void onFail(Refusal refusal, int deliveredTokens) {
		if (!tryEnd(RunOutcome.ENDED)) {
			return;
		}
		this.responseWriter.fail(refusal, deliveredTokens).onComplete((written) -> this.completion.run());
		this.services.metrics().recordRequestRefused(ChatHandler.kind(), refusal.reason(), refusal.verdict());
		boolean clientError = refusal.reason().isClientError();
		recordObjectiveEvent(Objective.Kind.AVAILABILITY, clientError ? 0 : Long.MAX_VALUE);
		RequestLog.logRefused(this.scope, ChatHandler.kind(), String.join(",", this.upstreams), refusal,
				elapsedMillis());
	}

	@Override
	public void onAbandoned() {
		if (!tryEnd(RunOutcome.ENDED)) {
			return;
		}
		this.services.metrics().recordRequestAbandoned(ChatHandler.kind());
		this.response.reset();
		this.completion.run();
		RequestLog.logAbandoned(this.scope, ChatHandler.kind(), String.join(",", this.upstreams), elapsedMillis());
	}

	private boolean tryEnd(RunOutcome outcome) {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		this.crashGuard.endRun(outcome);
		this.permit.release(this.tokenCount);
		return true;
	}

	private void recordRecovery(long elapsedNanos) {
		if (!this.failureSinceLastToken) {
			return;
		}
		this.failureSinceLastToken = false;
		this.services.metrics().recordStreamRecovery(elapsedNanos);
		recordObjectiveEvent(Objective.Kind.RECOVERY, elapsedNanos);
	}

	private void recordObjectiveEvent(Objective.Kind kind, long elapsedNanos) {
		this.services.metrics()
			.recordObjectiveEvent(this.scope.bundle().objectives(), kind, this.scope.organisation().name(),
					elapsedNanos);
	}

	private long elapsedMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.scope.startNanos());
	}

}
