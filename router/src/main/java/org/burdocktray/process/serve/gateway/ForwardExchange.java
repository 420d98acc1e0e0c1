package org.burdocktray.process.serve.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.request.forward.ForwardState;
import org.burdocktray.request.forward.ResponseTiming;
import org.burdocktray.request.forward.WaitingRequest;
import org.burdocktray.request.hedge.HedgeClass;
import org.burdocktray.request.overload.RequestTracker;
import org.burdocktray.version.rules.RequestKind;

/**
 * Processes one admitted request from its first attempt to its final response.
 * Invariants: the caller gets one final response; a request that may have run is not
 * refused as not run, and is sent again only if it is repeatable. Thread safety: confined
 * to one event loop.
 */
final class ForwardExchange
		implements Attempt.Listener, StreamRecovery.Owner, RunHandover.Owner, RequestDispatch.Owner {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final long NO_TIMER = -1;

	/**
	 * The share of the caller's timeout after which a replica without a response has
	 * failed.
	 */
	private static final double UNRESPONSIVE_SHARE = 0.5;

	/**
	 * The share of the remaining time after which an attempt of an idempotent call counts
	 * as silent.
	 */
	private static final double SILENT_ATTEMPT_SHARE = 0.45;

	private static final long MIN_SILENT_MILLIS = 25;

	/**
	 * The silence after which a run counts as out of reach when this VM is cut off.
	 */
	private static final long CUT_OFF_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * The silence after which a hedged run through a failed engine counts as lost.
	 */
	private static final long HEDGED_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * The silence after which a VM that relays a stream has failed. It recovers the
	 * stream from the silence of a replica sooner.
	 */
	private static final long SILENT_RELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

	private final GatewayContext context;

	private final AdmittedRequest admitted;

	private final CallerResponse callerResponse;

	private final RequestsInProgress requestsInProgress;

	private final ForwardState state;

	private final TargetSelector targetSelector;

	private final StreamRecovery streamRecovery;

	private final ReplicaHealth health;

	private final RunGuard runGuard;

	private final RunPreparation preparation;

	private final RunHandover handover;

	private final StreamDelivery stream;

	private final FinalResponse finalResponse;

	private final Optional<RequestTracker> tracker;

	private final ResponseTiming timing = new ResponseTiming(System.nanoTime());

	private Optional<Attempt> attempt = Optional.empty();

	/** The attempt whose first event hedging waits for. */
	private Optional<Attempt> timedAttempt = Optional.empty();

	private long hedgeTimer = NO_TIMER;

	/** Timers hold the whole request, so none outlives it. */
	private final Set<Long> silenceTimers = new HashSet<>();

	private final RequestDispatch dispatch;

	private boolean ended;

	private long timeLimitMillis;

	private long deadlineTimer;

	ForwardExchange(GatewayContext context, AdmittedRequest admitted, CallerResponse callerResponse,
			RequestsInProgress requestsInProgress) {
		this.context = context;
		this.admitted = admitted;
		this.callerResponse = callerResponse;
		this.requestsInProgress = requestsInProgress;
		this.state = new ForwardState(admitted.route(),
				admitted.relayed().map(RelayHeaders.RelayedRequest::runs).orElse(0));
		this.targetSelector = new TargetSelector(context, admitted);
		this.tracker = context.overload()
			.filter((control) -> admitted.relayed().isEmpty())
			.flatMap((control) -> control.track(admitted.arrival(), this.timing.startNanos()));
		this.health = new ReplicaHealth(context);
		this.streamRecovery = new StreamRecovery(context, admitted, this.targetSelector, this);
		this.runGuard = new RunGuard(context.crashes(), admitted);
		this.preparation = new RunPreparation(context, admitted.service().name(), this.runGuard, this.health);
		this.dispatch = new RequestDispatch(context, admitted, this.targetSelector, this.preparation,
				this.timing.startNanos(), this.tracker, this);
		this.handover = new RunHandover(context, admitted, this.state, this.targetSelector, this.preparation,
				this.runGuard, this.health, this);
		this.stream = new StreamDelivery(context.metrics(), callerResponse, this.timing);
		this.finalResponse = new FinalResponse(context.metrics(), admitted, callerResponse, this.state, this.timing);
	}

	void start() {
		this.requestsInProgress.add(this);
		if (this.admitted.relayed().isEmpty()) {
			this.context.retryBudget().recordFirstAttempt(this.admitted.service().name(), System.nanoTime());
			this.context.hedging()
				.ifPresent((policy) -> policy.recordRequest(this.admitted.service().name(),
						this.admitted.organisationName(), System.nanoTime()));
		}
		else {
			this.context.pressure().ifPresent((pressure) -> pressure.recordFromOtherVm(System.nanoTime()));
		}
		this.callerResponse.onDisconnect(this::onCallerDisconnect);
		this.timeLimitMillis = Math.max(1, this.admitted.request().remainingMillis());
		this.deadlineTimer = this.context.vertx().setTimer(this.timeLimitMillis, (timer) -> onDeadline());
		this.dispatch.dispatch();
	}

	/** Tries again to find a target if the request waits for free capacity. */
	void dispatchWaiting() {
		if (isWaiting() && !this.ended) {
			this.dispatch.dispatch();
		}
	}

	boolean isWaiting() {
		return this.dispatch.isWaiting();
	}

	WaitingRequest waitingRequest() {
		return new WaitingRequest(this.admitted.priority(), this.callerResponse.isStarted() || isInterrupted(),
				this.timing.startNanos(), this.admitted.route().targetLatencyMillis() * NANOS_PER_MILLI);
	}

	// Without the shedding of load, resumed streams wait like new requests.
	private boolean isInterrupted() {
		return this.context.overload().isPresent() && this.admitted.arrival().isInterrupted();
	}

	@Override
	public boolean hasEnded() {
		return this.ended;
	}

	@Override
	public boolean isResponseStarted() {
		return this.callerResponse.isStarted();
	}

	@Override
	public boolean isNextRunRetry() {
		return this.state.isRetry();
	}

	@Override
	public boolean mustWaitForOthers() {
		String service = serviceName();
		return !isInterrupted() && this.context.overload().filter((control) -> control.isClosed(service)).isPresent()
				&& this.requestsInProgress.hasWaitingBefore(this, System.nanoTime());
	}

	String serviceName() {
		return this.admitted.service().name();
	}

	@Override
	public long waitingSinceNanos() {
		return isResponseStarted() ? this.streamRecovery.progressNanos() : this.timing.startNanos();
	}

	@Override
	public void refuseQuarantined(QuarantineDecision.Refuse refusal) {
		finish();
		this.finalResponse.refuseQuarantined(refusal, System.nanoTime());
	}

	@Override
	public void giveBack() {
		cancelAttempt();
		finish();
		this.finalResponse.giveBack();
	}

	@Override
	public void send(Target target) {
		this.state.recordSend();
		this.tracker.ifPresent(RequestTracker::recordSend);
		this.stream.startRun(Optional.empty());
		this.streamRecovery.onAttemptStart(this.callerResponse.isStarted());
		Attempt next = new Attempt(this.context, nextRequest(), target, this);
		this.attempt = Optional.of(next);
		RequestEventLog.logSent(this.admitted, target, this.state);
		next.start();
	}

	@Override
	public ForwardedRequest nextRequest() {
		return this.admitted.request()
			.resumingAfter(this.stream.lastEventId().or(this.admitted.head()::lastEventId), this.state.runs());
	}

	@Override
	public void onSend() {
		this.runGuard.startRun(currentAttempt(), currentAttempt().target());
		startSilenceTimer(currentAttempt());
		startHedgeTimer(currentAttempt());
	}

	private void startHedgeTimer(Attempt started) {
		if (this.context.hedging().isEmpty() || !this.admitted.isHedgeable() || this.callerResponse.isStarted()
				|| started.target().isRelay()) {
			return;
		}
		endHedgeTimer();
		this.timedAttempt = Optional.of(started);
		OptionalLong delayNanos = this.context.hedging().get().recordStart(hedgeClass(), System.nanoTime());
		if (delayNanos.isEmpty()) {
			return;
		}
		long delayMillis = Math.max(1, delayNanos.getAsLong() / NANOS_PER_MILLI);
		this.hedgeTimer = this.context.vertx().setTimer(delayMillis, (timer) -> {
			if (isCurrent(started) && !this.callerResponse.isStarted()) {
				this.handover.hedge(started);
			}
		});
	}

	// Is called at the first event, before anything is cancelled.
	private void recordFirstEvent() {
		this.timedAttempt.filter(this::isCurrent).ifPresent((timed) -> {
			long nowNanos = System.nanoTime();
			this.context.hedging()
				.ifPresent((policy) -> policy.recordFirstEvent(hedgeClass(), nowNanos - timed.sentNanos(), nowNanos));
		});
		endHedgeTimer();
	}

	private void endHedgeTimer() {
		this.timedAttempt = Optional.empty();
		if (this.hedgeTimer != NO_TIMER) {
			this.context.vertx().cancelTimer(this.hedgeTimer);
			this.hedgeTimer = NO_TIMER;
		}
	}

	private HedgeClass hedgeClass() {
		int size = this.admitted.head().promptTokens().orElse(this.admitted.request().body().length());
		return HedgeClass.of(this.admitted.route().name(), this.admitted.service().name(), size);
	}

	private void startSilenceTimer(Attempt timedAttempt) {
		long silentMillis = (long) (SILENT_ATTEMPT_SHARE * this.admitted.request().remainingMillis());
		if (this.admitted.route().kind() != RequestKind.IDEMPOTENT || silentMillis < MIN_SILENT_MILLIS) {
			return;
		}
		this.silenceTimers.add(this.context.vertx().setTimer(silentMillis, (timer) -> {
			this.silenceTimers.remove(timer);
			if (isCurrent(timedAttempt)) {
				startSuccessor(timedAttempt, "no response in time");
				startSilenceTimer(timedAttempt);
			}
		}));
	}

	@Override
	public void onResponse(HttpClientResponse head, Buffer body) {
		this.context.crashes().recordSignOfLife();
		if (this.callerResponse.isStarted()) {
			onFailure(AttemptOutcome.FAILED, "resumed stream got status " + head.statusCode(), Optional.empty());
			return;
		}
		Replica replica = currentAttempt().target().replica();
		boolean isFailure = head.statusCode() >= FIRST_SERVER_ERROR;
		this.health.recordResponse(replica, isFailure);
		if (isFailure) {
			retryAfterFailure(head, body, replica);
			return;
		}
		if (head.statusCode() / 100 == 2) {
			recordFirstEvent();
		}
		endSilence();
		this.runGuard.recordResponse(currentAttempt(), head.statusCode());
		deliver(head, body, currentAttempt());
	}

	private void retryAfterFailure(HttpClientResponse head, Buffer body, Replica replica) {
		Attempt failed = currentAttempt();
		this.state.recordOutcome(AttemptOutcome.FAILED);
		this.context.metrics().recordAttempt(AttemptOutcome.FAILED.name());
		this.targetSelector.exclude(replica);
		this.targetSelector.keepHere();
		this.runGuard.end(failed);
		this.attempt = Optional.empty();
		if (continueWithSuccessor()) {
			logFailedAnswer(failed);
			return;
		}
		// A VM that relays has tried other replicas already.
		if (!this.state.canRetry() || failed.target().isRelay()) {
			deliver(head, body, failed);
			return;
		}
		this.preparation.prepare(this.targetSelector::select, true, () -> !this.ended).subscribe((result) -> {
			if (result instanceof RunPreparation.Result.Ready ready) {
				logFailedAnswer(failed);
				send(ready.target());
			}
			else if (!this.ended) {
				deliver(head, body, failed);
			}
		});
	}

	private void logFailedAnswer(Attempt failed) {
		RequestEventLog.logAttemptFailed(this.admitted, failed, AttemptOutcome.FAILED,
				"status " + failed.answerOrigin().status(), Optional.empty());
	}

	@Override
	public void onRefusal(RelayRefusal refusal) {
		if (this.callerResponse.isStarted()) {
			onFailure(refusal.outcome(), refusal.cause(), Optional.empty());
			return;
		}
		this.state.recordOutcome(refusal.outcome());
		if (refusal.outcome().verdict() != Verdict.NOT_RUN) {
			this.targetSelector.keepHere();
		}
		this.attempt = Optional.empty();
		if (continueWithSuccessor()) {
			return;
		}
		finish();
		this.finalResponse.passOn(refusal);
	}

	private void deliver(HttpClientResponse head, Buffer body, Attempt answered) {
		finish();
		this.tracker.ifPresent((request) -> request.recordResponse(head.statusCode(), System.nanoTime()));
		this.finalResponse.deliver(head, body, answered.target().replica(), answered.answerOrigin());
	}

	@Override
	public void onStreamStart(HttpClientResponse head) {
		this.stream.setHead(head);
		if (this.callerResponse.isStarted()) {
			this.streamRecovery.recordProgress();
		}
	}

	@Override
	public void onStreamData(Buffer bytes) {
		this.context.crashes().recordSignOfLife();
		boolean isFirst = !this.callerResponse.isStarted();
		Optional<String> lastEventId = this.stream.lastEventId();
		// Bytes that complete no event, and lines between events, are no progress.
		if (!this.stream.deliver(bytes, currentAttempt())
				|| (lastEventId.isPresent() && lastEventId.equals(this.stream.lastEventId()))) {
			return;
		}
		this.streamRecovery.recordProgress();
		recordFirstEvent();
		endSilence();
		this.runGuard.recordOutput(currentAttempt(), System.nanoTime());
		if (isFirst) {
			this.tracker.ifPresent((request) -> request.recordFirstEvent(System.nanoTime()));
			currentAttempt().target().replicas().forEach(this.context.loads()::recordSuccess);
			this.state.recordResponseStart();
		}
	}

	// The present run responds, so it needs no successor.
	private void endSilence() {
		this.handover.cancelForResponse();
		this.runGuard.resumeRun(currentAttempt());
	}

	@Override
	public void onStreamEnd() {
		Replica replica = currentAttempt().target().replica();
		if (this.stream.hasPartialEvent()) {
			onFailure(AttemptOutcome.LOST, "stream ended within an event", Optional.empty());
			return;
		}
		this.health.recordResponse(replica, false);
		endSilence();
		Attempt answered = currentAttempt();
		this.runGuard.recordResponse(answered, this.stream.head().statusCode());
		finish();
		this.tracker.ifPresent((request) -> this.stream.eventCount().ifPresent(request::recordStreamEnd));
		this.finalResponse.completeStream(this.stream.head(), replica, answered.answerOrigin());
	}

	@Override
	public void onFailure(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress) {
		if (this.ended) {
			return;
		}
		this.dispatch.recordFailedAttempt();
		Attempt failed = currentAttempt();
		Target target = failed.target();
		this.finalResponse.setLastCause(cause);
		this.state.recordOutcome(outcome);
		this.context.metrics().recordAttempt(outcome.name());
		RequestEventLog.logAttemptFailed(this.admitted, failed, outcome, cause, faultAddress);
		if (this.health.recordFailedAttempt(target.replica(), outcome, faultAddress)) {
			this.targetSelector.exclude(target.replica());
		}
		if (outcome.verdict() != Verdict.NOT_RUN) {
			this.targetSelector.keepHere();
		}
		this.runGuard.recordFailure(failed, outcome, faultAddress.flatMap(this.context.directory()::findByAddress));
		this.attempt = Optional.empty();
		if (continueWithSuccessor()) {
			return;
		}
		if (!this.state.canRetry()) {
			giveUpUnlessTargetIsGone(failed, outcome, cause);
			return;
		}
		if (outcome == AttemptOutcome.REJECTED && !target.isRelay()) {
			this.tracker.ifPresent((request) -> request.recordReplicaRejection(System.nanoTime()));
		}
		if (outcome == AttemptOutcome.DECLINED || (outcome == AttemptOutcome.REJECTED && target.path().isEmpty())) {
			this.targetSelector.exclude(target.replica());
		}
		this.targetSelector.recordNotTaken(target);
		this.dispatch.dispatch();
	}

	// Several links of this VM may fail one after the other.
	private void giveUpUnlessTargetIsGone(Attempt failed, AttemptOutcome outcome, String cause) {
		if (outcome != AttemptOutcome.LOST || !this.state.canDiscountRun()) {
			giveUp(cause);
			return;
		}
		new LostTargetCheck(this.context, this.admitted.service().healthPath()).isGone(failed.target())
			.subscribe((isGone) -> onLostTargetChecked(isGone, cause));
	}

	private void onLostTargetChecked(boolean isGone, String cause) {
		if (this.ended) {
			return;
		}
		if (!isGone) {
			giveUp(cause);
			return;
		}
		this.state.discountRun();
		this.dispatch.dispatch();
	}

	/**
	 * Checks whether the stream has stalled.
	 * @param nowNanos the monotonic time
	 */
	void checkProgress(long nowNanos) {
		this.tracker.ifPresent((request) -> request.check(nowNanos));
		startSuccessorIfSilent((running) -> running.target().isRelay() && this.callerResponse.isStarted(),
				SILENT_RELAY_NANOS);
		if (this.handover.isInProgress()) {
			this.handover.checkProgress(nowNanos);
			if (!this.handover.isHedging()) {
				return;
			}
		}
		this.attempt.ifPresent((running) -> this.streamRecovery.check(running, nowNanos));
	}

	/** Sends the request through another VM if its replica is silent. */
	void onCutOff() {
		startSuccessorIfSilent((running) -> !running.target().isRelay(), CUT_OFF_SILENCE_NANOS);
		dispatchWaiting();
	}

	private void startSuccessorIfSilent(Predicate<Attempt> isConcerned, long silentNanos) {
		this.attempt.filter(Attempt::isSent)
			.filter((running) -> !running.isPaused())
			.filter(isConcerned)
			.filter((running) -> silentNanos(running) > silentNanos)
			.ifPresent((running) -> startSuccessor(running, "nothing comes from " + running.target().replica().id()));
	}

	/**
	 * Moves the stream to another path if it has stalled and passes through the failed
	 * engine.
	 * @param engine the engine that does not respond
	 */
	void onEngineFailure(Replica engine) {
		if (this.handover.isInProgress()) {
			this.handover.onEngineFailure(engine);
			startSuccessorOfHedged(engine);
			return;
		}
		this.attempt.ifPresent((running) -> this.streamRecovery.onEngineFailure(running, engine));
	}

	// The hedged run becomes the successor, so the path is not changed.
	private void startSuccessorOfHedged(Replica engine) {
		if (this.handover.isHedging()) {
			startSuccessorIfSilent((running) -> running.target().contains(engine), HEDGED_SILENCE_NANOS);
		}
	}

	@Override
	public void startSuccessor(Attempt silent, String cause) {
		if (!isCurrent(silent)) {
			return;
		}
		if (this.dispatch.isRelayedInVain()) {
			giveBack();
			return;
		}
		this.handover.begin(silent, cause);
	}

	@Override
	public long silentNanos(Attempt running) {
		return System.nanoTime() - Math.max(running.sentNanos(), this.streamRecovery.progressNanos());
	}

	@Override
	public Attempt.Listener takeOver(RunHandover.Successor successor) {
		Attempt silent = currentAttempt();
		if (successor.isHedge()) {
			return takeOverFromLoser(silent, successor);
		}
		RequestEventLog.logRunHandedOver(this.admitted, silent.target(), successor.attempt().target(),
				silentNanos(silent));
		this.state.recordOutcome(AttemptOutcome.LOST);
		this.context.metrics().recordAttempt(AttemptOutcome.LOST.name());
		if (this.health.recordFailedAttempt(silent.target().replica(), AttemptOutcome.LOST, Optional.empty())) {
			this.targetSelector.exclude(silent.target().replica());
		}
		silent.recordUnresponsive();
		silent.cancel();
		this.runGuard.end(silent);
		continueWith(successor);
		return this;
	}

	// A run that loses has not failed: nothing is held against its replica.
	private Attempt.Listener takeOverFromLoser(Attempt loser, RunHandover.Successor winner) {
		recordFirstEvent();
		this.state.recordOutcome(AttemptOutcome.LOST);
		loser.cancel();
		this.runGuard.end(loser);
		continueWith(winner);
		return this;
	}

	@Override
	public void onSuccessorFailure(String cause) {
		this.finalResponse.setLastCause(cause);
		this.attempt.ifPresent((silent) -> startSuccessor(silent, cause));
	}

	// Returns false if the request has no successor.
	private boolean continueWithSuccessor() {
		Optional<RunHandover.Successor> successor = this.handover.take();
		successor.ifPresent(this::continueWith);
		return successor.isPresent();
	}

	private void continueWith(RunHandover.Successor successor) {
		this.targetSelector.keepHere();
		this.attempt = Optional.of(successor.attempt());
		successor.attempt().setListener(this);
		this.stream.startRun(successor.streamHead());
		this.streamRecovery.onAttemptStart(this.callerResponse.isStarted());
		startSilenceTimer(successor.attempt());
		if (successor.received().length() > 0) {
			onStreamData(successor.received());
		}
	}

	@Override
	public Single<StreamRecovery.PathChange> preparePathChange(Attempt running, Replica failedEngine, Target next) {
		return this.runGuard.recordLoss(running, List.of(failedEngine))
			.andThen(Single.defer(() -> this.runGuard.findUnresponsive(next)))
			.map((unresponsive) -> startRunOnPath(running, next, unresponsive));
	}

	private StreamRecovery.PathChange startRunOnPath(Attempt running, Target next, List<Replica> unresponsive) {
		if (!isCurrent(running) || !this.runGuard.check().mayRun()) {
			return StreamRecovery.PathChange.NOT_ALLOWED;
		}
		if (!unresponsive.isEmpty()) {
			this.health.avoidUnresponsive(unresponsive);
			return StreamRecovery.PathChange.ENGINE_UNRESPONSIVE;
		}
		this.runGuard.startRun(running, next);
		return StreamRecovery.PathChange.ALLOWED;
	}

	@Override
	public boolean isCurrent(Attempt candidate) {
		return !this.ended && this.attempt.isPresent() && this.attempt.get() == candidate;
	}

	@Override
	public void onEngineFailureDetected(Replica engine) {
		this.requestsInProgress.onEngineFailure(engine);
	}

	/** Ends the request because the process stops. */
	void stop() {
		if (!this.ended) {
			cancelAttempt();
			this.runGuard.stop();
			finish();
			this.finalResponse.giveUp("VM is stopping", CallerResponse.OTHER_VM_RETRY_AFTER_SECONDS);
		}
	}

	private void cancelAttempt() {
		this.attempt.ifPresent((running) -> {
			if (running.isSent()) {
				this.state.recordOutcome(AttemptOutcome.LOST);
			}
			running.cancel();
		});
	}

	private void onDeadline() {
		if (this.ended) {
			return;
		}
		recordUnresponsiveReplica();
		cancelAttempt();
		finish();
		this.finalResponse.timeOut();
	}

	private void onCallerDisconnect() {
		if (this.ended) {
			return;
		}
		recordUnresponsiveReplica();
		this.attempt.ifPresent(Attempt::cancel);
		finish();
		this.finalResponse.recordDisconnect();
	}

	// A replica that has had a request for this long without a response counts as failed
	// even if its health check succeeds.
	private void recordUnresponsiveReplica() {
		long timeoutMillis = Math.min(this.timeLimitMillis, this.admitted.route().callerTimeoutMillis());
		double unresponsiveNanos = UNRESPONSIVE_SHARE * timeoutMillis * NANOS_PER_MILLI;
		this.attempt.filter(Attempt::isSent)
			.filter((running) -> !this.callerResponse.isStarted())
			.filter((running) -> System.nanoTime() - running.sentNanos() >= unresponsiveNanos)
			.ifPresent((running) -> {
				this.health.recordResponse(running.target().replica(), true);
				running.recordUnresponsive();
				this.runGuard.recordLoss(running, running.target().replicas());
			});
	}

	@Override
	public void giveUp(String cause) {
		finish();
		this.finalResponse.giveUp(cause);
	}

	@Override
	public void giveUp(String cause, double retryAfterSeconds) {
		finish();
		this.finalResponse.giveUp(cause, retryAfterSeconds);
	}

	@Override
	public double retryAfterSeconds() {
		return this.finalResponse.retryAfterSeconds();
	}

	private void finish() {
		this.ended = true;
		this.dispatch.endWait();
		this.handover.cancel();
		endHedgeTimer();
		this.silenceTimers.forEach(this.context.vertx()::cancelTimer);
		this.runGuard.close();
		this.attempt = Optional.empty();
		this.context.vertx().cancelTimer(this.deadlineTimer);
		this.requestsInProgress.remove(this);
	}

	private Attempt currentAttempt() {
		return this.attempt.orElseThrow();
	}

}
