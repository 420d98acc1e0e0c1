package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.request.forward.EventFramer;
import org.burdocktray.request.forward.ForwardState;
import org.burdocktray.request.forward.ResponseTiming;
import org.burdocktray.request.forward.WaitingRequest;
import org.burdocktray.version.rules.RequestKind;

/**
 * Processes one admitted request from its first attempt to its final response.
 * Invariants: the caller gets one final response; a request that may have run is not
 * refused as not run, and is sent again only if it is repeatable. Thread safety: confined
 * to one event loop.
 */
final class ForwardExchange implements Attempt.Listener, StreamRecovery.Owner {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int FIRST_SERVER_ERROR = 500;

	/**
	 * The share of the caller's timeout for which a new request waits for free capacity.
	 */
	private static final double INITIAL_WAIT_SHARE = 0.8;

	/**
	 * The share of the caller's timeout for which an interrupted stream waits for free
	 * capacity.
	 */
	private static final double RESUME_WAIT_SHARE = 0.85;

	/**
	 * The share of the caller's timeout after which a replica without a response has
	 * failed.
	 */
	private static final double UNRESPONSIVE_SHARE = 0.5;

	/**
	 * The share of the remaining time that one attempt of an idempotent call may take.
	 */
	private static final double ATTEMPT_TIMEOUT_SHARE = 0.45;

	private final GatewayContext context;

	private final AdmittedRequest admitted;

	private final CallerResponse callerResponse;

	private final RequestsInProgress requestsInProgress;

	private final ForwardState state;

	private final TargetSelector targetSelector;

	private final StreamRecovery streamRecovery;

	private final ReplicaHealth health;

	private final RunGuard runGuard;

	private final FinalResponse finalResponse;

	private final EventFramer framer = new EventFramer();

	private final ResponseTiming timing = new ResponseTiming(System.nanoTime());

	private Optional<Attempt> attempt = Optional.empty();

	private Optional<HttpClientResponse> streamHead = Optional.empty();

	private boolean waiting;

	private boolean ended;

	private long timeLimitMillis;

	private long deadlineTimer;

	ForwardExchange(GatewayContext context, AdmittedRequest admitted, CallerResponse callerResponse,
			RequestsInProgress requestsInProgress) {
		this.context = context;
		this.admitted = admitted;
		this.callerResponse = callerResponse;
		this.requestsInProgress = requestsInProgress;
		this.state = new ForwardState(admitted.route());
		this.targetSelector = new TargetSelector(context, admitted.service(), admitted.head());
		this.health = new ReplicaHealth(context);
		this.streamRecovery = new StreamRecovery(context, admitted, this.targetSelector, this);
		this.runGuard = new RunGuard(context.crashes(), admitted);
		this.finalResponse = new FinalResponse(context.metrics(), admitted, callerResponse, this.state, this.timing);
	}

	void start() {
		this.requestsInProgress.add(this);
		this.context.retryBudget().recordFirstAttempt(this.admitted.service().name(), System.nanoTime());
		this.callerResponse.onDisconnect(this::onCallerDisconnect);
		this.timeLimitMillis = Math.max(1, this.admitted.request().remainingMillis());
		this.deadlineTimer = this.context.vertx().setTimer(this.timeLimitMillis, (timer) -> onDeadline());
		dispatch();
	}

	/** Tries again to find a target if the request waits for free capacity. */
	void dispatchWaiting() {
		if (this.waiting && !this.ended) {
			dispatch();
		}
	}

	boolean isWaiting() {
		return this.waiting;
	}

	WaitingRequest waitingRequest() {
		return new WaitingRequest(this.admitted.priority(), this.callerResponse.isStarted(), this.timing.startNanos(),
				this.admitted.route().targetLatencyMillis() * NANOS_PER_MILLI);
	}

	private void dispatch() {
		QuarantineDecision decision = this.runGuard.check();
		if (decision instanceof QuarantineDecision.Refuse refuse) {
			finish();
			this.finalResponse.refuseQuarantined(refuse.untilNanos() - System.nanoTime());
			return;
		}
		if (this.runGuard.isCheckingLostRun()) {
			this.waiting = true;
			return;
		}
		if (decision instanceof QuarantineDecision.Wait) {
			waitOrGiveUp("another run of the request is in progress", true);
			return;
		}
		Optional<Target> target = this.targetSelector.select(decision.excludedUpstreams());
		if (target.isEmpty()) {
			waitOrGiveUp("no replica can take the request",
					this.callerResponse.isStarted() || this.targetSelector.canWait());
			return;
		}
		this.waiting = false;
		this.runGuard.findUnresponsive(target.get())
			.subscribe((unresponsive) -> onTargetProbed(target.get(), unresponsive));
	}

	private void onTargetProbed(Target target, List<Replica> unresponsive) {
		if (this.ended) {
			return;
		}
		if (!unresponsive.isEmpty()) {
			this.health.avoidUnresponsive(unresponsive);
			unresponsive.forEach(this.targetSelector::exclude);
			this.waiting = true;
			return;
		}
		if (this.state.isRetry()
				&& !this.context.retryBudget().tryAcquireRetry(this.admitted.service().name(), System.nanoTime())) {
			giveUp("retry budget is spent");
			return;
		}
		send(target);
	}

	private void waitOrGiveUp(String cause, boolean isWorthWaiting) {
		double share = this.callerResponse.isStarted() ? RESUME_WAIT_SHARE : INITIAL_WAIT_SHARE;
		long waitStartNanos = this.callerResponse.isStarted() ? this.streamRecovery.progressNanos()
				: this.timing.startNanos();
		double maxWaitNanos = share * this.admitted.route().callerTimeoutMillis() * NANOS_PER_MILLI;
		if (!isWorthWaiting || System.nanoTime() - waitStartNanos >= maxWaitNanos) {
			giveUp(cause);
			return;
		}
		this.waiting = true;
	}

	private void send(Target target) {
		this.state.recordSend();
		this.framer.reset();
		this.streamRecovery.onAttemptStart(this.callerResponse.isStarted());
		Optional<String> lastEventId = this.framer.lastEventId().or(this.admitted.head()::lastEventId);
		Attempt next = new Attempt(this.context, this.admitted.request().resumingAfter(lastEventId), target, this);
		this.attempt = Optional.of(next);
		RequestEventLog.logSent(this.admitted, target, this.state);
		next.start();
		startAttemptTimer(next);
	}

	private void startAttemptTimer(Attempt timedAttempt) {
		if (this.admitted.route().kind() != RequestKind.IDEMPOTENT || this.ended) {
			return;
		}
		long timeoutMillis = (long) (ATTEMPT_TIMEOUT_SHARE * this.admitted.request().remainingMillis());
		this.context.vertx().setTimer(Math.max(1, timeoutMillis), (timer) -> {
			if (isCurrent(timedAttempt) && this.state.canAbandonAttempt()) {
				logRunGivenUp(timedAttempt, "no answer in time");
				timedAttempt.cancel();
				onFailure(timedAttempt.isSent() ? AttemptOutcome.LOST : AttemptOutcome.NOT_SENT, "no answer in time",
						Optional.empty());
			}
		});
	}

	@Override
	public void onSend() {
		this.runGuard.startRun(currentAttempt().target());
	}

	@Override
	public void onResponse(HttpClientResponse head, Buffer body) {
		Replica replica = currentAttempt().target().replica();
		boolean isFailure = head.statusCode() >= FIRST_SERVER_ERROR;
		this.context.crashes().recordSignOfLife();
		this.health.recordResponse(replica, isFailure);
		if (!isFailure) {
			this.runGuard.recordSuccess();
		}
		if (isFailure && retryAfterFailure(replica)) {
			return;
		}
		finish();
		if (this.streamHead.isPresent()) {
			this.finalResponse.abortStream("replica answered a resumed stream with status " + head.statusCode());
			return;
		}
		this.finalResponse.deliver(head, body, replica);
	}

	private boolean retryAfterFailure(Replica replica) {
		this.runGuard.end();
		this.state.recordOutcome(AttemptOutcome.FAILED);
		this.targetSelector.exclude(replica);
		QuarantineDecision decision = this.runGuard.check();
		if (!decision.mayRun() || !this.state.canRetry() || this.streamHead.isPresent()
				|| !this.context.retryBudget().tryAcquireRetry(this.admitted.service().name(), System.nanoTime())) {
			return false;
		}
		Optional<Target> nextTarget = this.targetSelector.select(decision.excludedUpstreams());
		nextTarget.ifPresent(this::send);
		return nextTarget.isPresent();
	}

	@Override
	public void onStreamStart(HttpClientResponse head) {
		if (this.streamHead.isEmpty()) {
			this.streamHead = Optional.of(head);
			return;
		}
		this.streamRecovery.recordProgress();
	}

	@Override
	public void onStreamData(Buffer bytes) {
		this.streamRecovery.recordProgress();
		this.context.crashes().recordSignOfLife();
		byte[] events = this.framer.accept(bytes.getBytes());
		if (events.length == 0) {
			return;
		}
		long nowNanos = System.nanoTime();
		this.timing.recordEvents(nowNanos);
		this.runGuard.recordOutput(nowNanos);
		if (!this.callerResponse.isStarted()) {
			this.context.metrics().recordFirstByte(System.nanoTime() - this.timing.startNanos());
			currentAttempt().target().replicas().forEach(this.context.loads()::recordSuccess);
			this.callerResponse.startStream(this.streamHead.orElseThrow());
		}
		Attempt source = currentAttempt();
		if (!this.callerResponse.write(Buffer.buffer(events), source::resume)) {
			source.pause();
		}
	}

	@Override
	public void onStreamEnd() {
		Replica replica = currentAttempt().target().replica();
		if (this.framer.hasPartialEvent()) {
			onFailure(AttemptOutcome.LOST, "stream ended within an event", Optional.empty());
			return;
		}
		this.health.recordResponse(replica, false);
		this.runGuard.recordSuccess();
		finish();
		this.finalResponse.completeStream(this.streamHead.orElseThrow(), replica);
	}

	@Override
	public void onFailure(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress) {
		if (this.ended) {
			return;
		}
		Attempt failed = currentAttempt();
		Target target = failed.target();
		this.finalResponse.setLastCause(cause);
		this.state.recordOutcome(outcome);
		this.context.metrics().recordAttempt(outcome.name());
		RequestEventLog.logAttemptFailed(this.admitted, target, outcome, cause, faultAddress);
		if (this.health.recordFailedAttempt(target.replica(), outcome, faultAddress)) {
			this.targetSelector.exclude(target.replica());
		}
		this.runGuard.recordFailure(failed, outcome, faultAddress.flatMap(this.context.directory()::findByAddress));
		this.attempt = Optional.empty();
		if (!this.callerResponse.isStarted()) {
			this.streamHead = Optional.empty();
		}
		if (!this.state.canRetry()) {
			giveUp(cause);
			return;
		}
		dispatch();
	}

	/**
	 * Checks whether the stream has stalled.
	 * @param nowNanos the monotonic time
	 */
	void checkProgress(long nowNanos) {
		if (!this.ended) {
			this.attempt.ifPresent((running) -> this.streamRecovery.check(running, nowNanos));
		}
	}

	/**
	 * Moves the stream to another path if it has stalled and passes through the failed
	 * engine.
	 * @param engine the engine that does not respond
	 */
	void onEngineFailure(Replica engine) {
		if (!this.ended) {
			this.attempt.ifPresent((running) -> this.streamRecovery.onEngineFailure(running, engine));
		}
	}

	@Override
	public void abandonAttempt(Attempt running, String cause) {
		if (this.state.canRetry()) {
			logRunGivenUp(running, cause);
			running.cancel();
			onFailure(AttemptOutcome.LOST, cause, Optional.empty());
		}
	}

	private void logRunGivenUp(Attempt running, String cause) {
		long lastProgressNanos = Math.max(running.sentNanos(), this.streamRecovery.progressNanos());
		this.context.metrics().recordRunGivenUp();
		RequestEventLog.logRunGivenUp(this.admitted, running.target(), cause, System.nanoTime() - lastProgressNanos,
				this.callerResponse.isStarted());
	}

	@Override
	public Single<StreamRecovery.PathChange> preparePathChange(Attempt running, Replica failedEngine, Target next) {
		return this.runGuard.recordLoss(List.of(failedEngine))
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
		this.runGuard.startRun(next);
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
				this.runGuard.recordLoss(running.target().replicas());
			});
	}

	private void giveUp(String cause) {
		finish();
		this.finalResponse.giveUp(cause);
	}

	private void finish() {
		this.ended = true;
		this.waiting = false;
		this.runGuard.close();
		this.attempt = Optional.empty();
		this.context.vertx().cancelTimer(this.deadlineTimer);
		this.requestsInProgress.remove(this);
	}

	private Attempt currentAttempt() {
		return this.attempt.orElseThrow();
	}

}
