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
 * One chat request between its caller and its stream: hands the tokens on, and records
 * metrics, objectives and the log line. Invariant: one end, which gives the permit back
 * and calls the completion. Thread safety: confined to the event loop of the request.
 */
final class ChatExchange implements StreamDriver.Listener {

	private final RequestScope scope;

	private final HttpServerResponse response;

	private final RequestServices services;

	private final CrashGuard crashGuard;

	private final Runnable completion;

	private ChatAnswer answer;

	private AdmissionPermit permit = (generatedTokens) -> {
	};

	private String model = "";

	private List<String> upstreams = List.of();

	private int attempts;

	private int tokens;

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
		this.answer = new WholeChatAnswer(response, scope.requestId(), "");
		this.lastTokenNanos = scope.startNanos();
	}

	HttpServerResponse response() {
		return this.response;
	}

	void admitted(AdmissionPermit admissionPermit) {
		this.permit = admissionPermit;
	}

	void answerWith(ChatAnswer chatAnswer, String modelName) {
		this.answer = chatAnswer;
		this.model = modelName;
	}

	void refuse(Refusal refusal) {
		onFail(refusal, 0);
	}

	@Override
	public void onAttempt(List<Engine> stages) {
		this.upstreams = stages.stream().map(Engine::name).toList();
		this.crashGuard.attemptStarts(stages);
		if (this.attempts++ == 0) {
			this.services.retryBudgets()
				.firstAttempt(this.scope.organisation().name(), this.upstreams,
						this.services.retryParameters(this.scope), System.nanoTime());
		}
	}

	@Override
	public boolean onToken(String text) {
		long nowNanos = System.nanoTime();
		long elapsedNanos = nowNanos - this.lastTokenNanos;
		this.lastTokenNanos = nowNanos;
		if (this.tokens == 0) {
			this.services.metrics().firstToken(elapsedNanos);
			count(Objective.Kind.FIRST_TOKEN, elapsedNanos);
		}
		else {
			count(Objective.Kind.BETWEEN_TOKENS, elapsedNanos);
		}
		this.services.metrics().nextToken(this.model, elapsedNanos);
		this.tokens++;
		countRecovery(elapsedNanos);
		return this.answer.token(text);
	}

	@Override
	public void onUpstreamFailure(String upstreamName) {
		this.failureSinceLastToken = true;
		this.services.retryBudgets().attemptEnded(this.model, true, System.nanoTime());
		this.services.upstreamFailed(upstreamName);
	}

	@Override
	public void onUpstreamLeaving(String upstreamName) {
		this.services.leavingListener().accept(upstreamName);
	}

	@Override
	public void onComplete(StreamAction.Complete complete) {
		if (!end(RunOutcome.SUCCEEDED)) {
			return;
		}
		this.answer.complete(complete.finishReason(), complete.promptTokens(), complete.completionTokens());
		this.services.metrics().requestAnswered(ChatHandler.kind());
		this.services.monitor().succeeded(this.upstreams);
		this.services.retryBudgets().attemptEnded(this.model, false, System.nanoTime());
		count(Objective.Kind.AVAILABILITY, 0);
		RequestLog.answered(this.scope, ChatHandler.kind(), String.join(",", this.upstreams), elapsedMillis());
	}

	@Override
	public void onFail(Refusal refusal, int deliveredTokens) {
		if (!end(RunOutcome.ENDED)) {
			return;
		}
		this.answer.fail(refusal, deliveredTokens);
		this.services.metrics().requestRefused(ChatHandler.kind(), refusal.reason(), refusal.verdict());
		boolean callersFault = refusal.reason().isClientError();
		count(Objective.Kind.AVAILABILITY, callersFault ? 0 : Long.MAX_VALUE);
		RequestLog.refused(this.scope, ChatHandler.kind(), String.join(",", this.upstreams), refusal, elapsedMillis());
	}

	@Override
	public void onAbandoned() {
		if (!end(RunOutcome.ENDED)) {
			return;
		}
		this.services.metrics().requestAbandoned(ChatHandler.kind());
		this.response.reset();
		RequestLog.abandoned(this.scope, ChatHandler.kind(), String.join(",", this.upstreams), elapsedMillis());
	}

	private boolean end(RunOutcome outcome) {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		this.crashGuard.end(outcome);
		this.permit.release(this.tokens);
		this.completion.run();
		return true;
	}

	private void countRecovery(long elapsedNanos) {
		if (!this.failureSinceLastToken) {
			return;
		}
		this.failureSinceLastToken = false;
		this.services.metrics().streamRecovered(elapsedNanos);
		count(Objective.Kind.RECOVERY, elapsedNanos);
	}

	private void count(Objective.Kind kind, long elapsedNanos) {
		this.services.metrics()
			.objectiveEvent(this.scope.bundle().objectives(), kind, this.scope.organisation().name(), elapsedNanos);
	}

	private long elapsedMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.scope.startNanos());
	}

}
