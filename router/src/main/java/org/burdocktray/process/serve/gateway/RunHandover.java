package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.request.forward.EventFramer;
import org.burdocktray.request.forward.ForwardState;
import org.burdocktray.version.rules.RequestKind;

/**
 * Starts the run that succeeds a silent one. A replica may fall silent for a moment and
 * go on, so silence does not end a run: the silent run is kept until its successor
 * responds. Whichever responds first goes on, the other one is cancelled. Invariants: a
 * request has at most one successor at a time; the silent run is ended only by the
 * {@link Owner}, when it takes over the successor at its first whole event. Thread
 * safety: confined to one event loop.
 */
final class RunHandover implements Attempt.Listener, StreamRecovery.Owner {

	private static final int FIRST_SERVER_ERROR = 500;

	/** Unresponsive targets after which the next stall is awaited. */
	private static final int MAX_PROBED_TARGETS = 3;

	private final GatewayContext context;

	private final AdmittedRequest admitted;

	private final ForwardState state;

	private final TargetSelector targetSelector;

	private final RunPreparation preparation;

	private final RunGuard runGuard;

	private final ReplicaHealth health;

	private final Owner owner;

	private final StreamRecovery recovery;

	private Optional<Silence> silence = Optional.empty();

	private Optional<Attempt> successor = Optional.empty();

	private Optional<HttpClientResponse> streamHead = Optional.empty();

	/** What the successor has sent of its first event. */
	private Buffer received = Buffer.buffer();

	private final EventFramer framer = new EventFramer();

	private String lastObstacle = "";

	RunHandover(GatewayContext context, AdmittedRequest admitted, ForwardState state, TargetSelector targetSelector,
			RunPreparation preparation, RunGuard runGuard, ReplicaHealth health, Owner owner) {
		this.context = context;
		this.admitted = admitted;
		this.state = state;
		this.targetSelector = targetSelector;
		this.preparation = preparation;
		this.runGuard = runGuard;
		this.health = health;
		this.owner = owner;
		this.recovery = new StreamRecovery(context, admitted, targetSelector, this);
	}

	/**
	 * Returns whether a successor is being prepared or has been sent.
	 * @return false if nothing is in progress
	 */
	boolean isInProgress() {
		return this.silence.isPresent() || this.successor.isPresent();
	}

	/**
	 * Starts a successor if the request may run a second time now. Does nothing if one is
	 * in progress.
	 * @param silent the attempt whose run is silent
	 * @param cause why it counts as silent, for logs
	 */
	void begin(Attempt silent, String cause) {
		if (isInProgress() || !this.state.canStartSecondRun()) {
			return;
		}
		Silence current = new Silence(silent, cause);
		this.silence = Optional.of(current);
		lossChecked(silent).subscribe(() -> prepare(current, 1));
	}

	// While this VM is cut off, silence is no sign of a loss.
	private Completable lossChecked(Attempt silent) {
		if (this.context.reach().isCutOff()) {
			return Completable.complete();
		}
		Completable lossChecked = this.runGuard.recordLoss(silent, silent.target().replicas());
		return isStreaming() ? lossChecked : Completable.complete();
	}

	private void prepare(Silence current, int attemptNumber) {
		this.preparation
			.prepare((spared) -> this.targetSelector.selectInsteadOf(current.silent().target().replica(), spared), true,
					() -> isCurrent(current))
			.subscribe((result) -> onPrepared(current, result, attemptNumber));
	}

	private void onPrepared(Silence current, RunPreparation.Result result, int attemptNumber) {
		if (!isCurrent(current)) {
			return;
		}
		if (result instanceof RunPreparation.Result.Ready ready) {
			endPreparation(current);
			start(current, ready.target());
		}
		else if (result instanceof RunPreparation.Result.Blocked blocked) {
			onBlocked(current, blocked.obstacle(), attemptNumber);
		}
		else {
			keepSilentRun(current, "request is quarantined");
		}
	}

	private void onBlocked(Silence current, RunPreparation.Obstacle obstacle, int attemptNumber) {
		if (obstacle == RunPreparation.Obstacle.TARGET_UNRESPONSIVE && attemptNumber < MAX_PROBED_TARGETS) {
			prepare(current, attemptNumber + 1);
			return;
		}
		keepSilentRun(current, obstacle.text());
	}

	private void start(Silence current, Target next) {
		this.state.recordSend();
		this.streamHead = Optional.empty();
		this.framer.reset();
		this.received = Buffer.buffer();
		this.recovery.onAttemptStart(false);
		Attempt started = new Attempt(this.context, this.owner.nextRequest(), next, this);
		this.successor = Optional.of(started);
		this.context.metrics().recordSuccessorStarted();
		RequestEventLog.logSuccessorSent(this.admitted, current.silent().target(), next, current.cause(),
				this.owner.silentNanos(current.silent()));
		started.start();
	}

	private void endPreparation(Silence current) {
		this.silence = Optional.empty();
		this.runGuard.resumeRun(current.silent());
	}

	private void keepSilentRun(Silence current, String obstacle) {
		endPreparation(current);
		if (!obstacle.equals(this.lastObstacle)) {
			this.lastObstacle = obstacle;
			RequestEventLog.logRunKept(this.admitted, current.silent().target(), obstacle,
					this.owner.silentNanos(current.silent()));
		}
	}

	private boolean isCurrent(Silence candidate) {
		return this.silence.filter((current) -> current == candidate).isPresent()
				&& this.owner.isCurrent(candidate.silent());
	}

	/**
	 * Checks whether the successor is silent as well.
	 * @param nowNanos the monotonic time
	 */
	void checkProgress(long nowNanos) {
		this.successor.ifPresent((running) -> this.recovery.check(running, nowNanos));
	}

	/**
	 * Ends the successor if it passes through a failed engine.
	 * @param engine the engine that does not respond
	 */
	void onEngineFailure(Replica engine) {
		this.successor.ifPresent((running) -> this.recovery.onEngineFailure(running, engine));
	}

	/** Ends the successor, if there is one, because it is not needed any more. */
	void cancel() {
		this.silence = Optional.empty();
		this.successor.ifPresent((running) -> {
			this.state.recordOutcome(running.isSent() ? AttemptOutcome.LOST : AttemptOutcome.NOT_SENT);
			running.cancel();
			this.runGuard.end(running);
		});
		this.successor = Optional.empty();
	}

	/**
	 * Hands over the successor although it has not responded, since the other run has
	 * ended.
	 * @return the successor, empty if none was sent
	 */
	Optional<Successor> take() {
		this.silence = Optional.empty();
		Optional<Successor> taken = this.successor
			.map((running) -> new Successor(running, this.streamHead, this.received));
		this.successor = Optional.empty();
		return taken;
	}

	@Override
	public void onSend() {
		Attempt sent = this.successor.orElseThrow();
		this.runGuard.startRun(sent, sent.target());
	}

	@Override
	public void onStreamStart(HttpClientResponse head) {
		this.streamHead = Optional.of(head);
	}

	@Override
	public void onStreamData(Buffer bytes) {
		this.received.appendBuffer(bytes);
		if (this.framer.accept(bytes.getBytes()).length > 0) {
			handOver();
		}
	}

	@Override
	public void onStreamEnd() {
		handOver().onStreamEnd();
	}

	@Override
	public void onResponse(HttpClientResponse head, Buffer body) {
		if (head.statusCode() >= FIRST_SERVER_ERROR || isStreaming()) {
			onFailure(AttemptOutcome.FAILED, "status " + head.statusCode(), Optional.empty());
			return;
		}
		handOver().onResponse(head, body);
	}

	@Override
	public void onRefusal(RelayRefusal refusal) {
		onFailure(refusal.outcome(), refusal.cause(), Optional.empty());
	}

	private Attempt.Listener handOver() {
		return this.owner.takeOver(take().orElseThrow());
	}

	@Override
	public void onFailure(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress) {
		Attempt failed = this.successor.orElseThrow();
		this.successor = Optional.empty();
		this.state.recordOutcome(outcome);
		this.context.metrics().recordAttempt(outcome.name());
		if (outcome == AttemptOutcome.NOT_SENT) {
			this.context.retryBudget().returnRetry(this.admitted.service().name());
		}
		RequestEventLog.logAttemptFailed(this.admitted, failed, outcome, cause, faultAddress);
		if (this.health.recordFailedAttempt(failed.target().replica(), outcome, faultAddress)) {
			this.targetSelector.exclude(failed.target().replica());
		}
		this.runGuard.recordFailure(failed, outcome, faultAddress.flatMap(this.context.directory()::findByAddress));
		this.owner.onSuccessorFailure(cause);
	}

	@Override
	public boolean isCurrent(Attempt candidate) {
		return this.successor.filter((running) -> running == candidate).isPresent();
	}

	// A successor that stalls is not moved to another path, but replaced, see below.
	@Override
	public Single<StreamRecovery.PathChange> preparePathChange(Attempt running, Replica failedEngine, Target next) {
		return Single.just(StreamRecovery.PathChange.NOT_ALLOWED);
	}

	// The silent run, which is still kept, gets another successor.
	@Override
	public void startSuccessor(Attempt stalled, String cause) {
		stalled.cancel();
		onFailure(AttemptOutcome.LOST, cause, Optional.empty());
	}

	@Override
	public void onEngineFailureDetected(Replica engine) {
		this.owner.onEngineFailureDetected(engine);
	}

	private boolean isStreaming() {
		return this.admitted.route().kind() == RequestKind.STREAMING;
	}

	/**
	 * A successor that is handed over. Thread safety: that of its components.
	 *
	 * @param attempt the attempt
	 * @param streamHead the head of its stream, empty before it has come
	 * @param received the bytes of its stream that have come
	 */
	record Successor(Attempt attempt, Optional<HttpClientResponse> streamHead, Buffer received) {

	}

	private record Silence(Attempt silent, String cause) {

	}

	/**
	 * The request whose run is silent.
	 */
	interface Owner {

		/**
		 * Returns whether an attempt is still the current one of the request.
		 * @param candidate the attempt
		 * @return false when the request has ended or uses another attempt
		 */
		boolean isCurrent(Attempt candidate);

		/**
		 * Returns the request as the next attempt has to send it.
		 * @return the request, which continues behind the last complete event
		 */
		ForwardedRequest nextRequest();

		/**
		 * Returns how long a run has been silent.
		 * @param attempt its attempt
		 * @return the time since its start or its last data
		 */
		long silentNanos(Attempt attempt);

		/**
		 * Ends the silent run and goes on with its successor, which has responded.
		 * @param successor the successor
		 * @return receives the results of the successor from now on
		 */
		Attempt.Listener takeOver(Successor successor);

		/**
		 * Handles a successor that ended without a response; the silent run is kept.
		 * @param cause the reason
		 */
		void onSuccessorFailure(String cause);

		/**
		 * Handles the detection of an engine that blocks streams.
		 * @param engine the engine
		 */
		void onEngineFailureDetected(Replica engine);

	}

}
