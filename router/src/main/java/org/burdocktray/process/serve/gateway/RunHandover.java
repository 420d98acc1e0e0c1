package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.request.forward.EventFramer;
import org.burdocktray.request.forward.ForwardState;
import org.burdocktray.request.hedge.HedgeCandidate;
import org.burdocktray.request.hedge.HedgeObstacle;
import org.burdocktray.request.hedge.HedgePolicy;
import org.burdocktray.version.rules.RequestKind;

/**
 * Starts the run that succeeds a silent one. A replica may fall silent for a moment and
 * go on, so silence does not end a run: the silent run is kept until its successor
 * responds. Whichever responds first goes on, the other one is cancelled. A hedged run is
 * started likewise beside a run that is late, of which nothing is recorded; it becomes an
 * ordinary successor when that run falls silent. Invariants: a request has at most one
 * successor at a time, and one hedged run in all; the silent run is ended only by the
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

	/** The late run, while the successor is a hedged one. */
	private Optional<Attempt> lateRun = Optional.empty();

	private boolean hedgedBefore;

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
		if (isHedging()) {
			endHedge(HedgeResult.BECAME_SUCCESSOR);
			lossChecked(silent).subscribe(() -> resumeIfCurrent(silent));
			return;
		}
		if (isInProgress() || !this.state.canStartSecondRun()) {
			return;
		}
		Silence current = new Silence(silent, cause);
		this.silence = Optional.of(current);
		lossChecked(silent).subscribe(() -> prepare(current, 1));
	}

	/**
	 * Starts a second run of a late request if it may run twice and there is capacity.
	 * @param late the attempt without a first event
	 */
	void hedge(Attempt late) {
		HedgePolicy policy = this.context.hedging().orElseThrow();
		HedgeCandidate candidate = createCandidate();
		Optional<HedgeObstacle> obstacle = policy.findObstacle(candidate, System.nanoTime());
		if (obstacle.isPresent()) {
			this.context.metrics().recordHedgeSkipped(obstacle.get().label());
			return;
		}
		Silence current = new Silence(late, "late");
		this.silence = Optional.of(current);
		this.preparation
			.prepare(
					(spared) -> this.targetSelector.selectApartFrom(late.target(), spared)
						.filter((target) -> policy.hasCapacity(candidate.service(), target.replicas())),
					true, () -> isCurrent(current))
			.subscribe((result) -> onHedgePrepared(current, candidate, result));
	}

	private HedgeCandidate createCandidate() {
		boolean isReachable = !this.targetSelector.isReachUncertain() && !this.context.reach().isCutOff();
		return new HedgeCandidate(this.admitted.service().name(), this.admitted.organisationName(),
				this.admitted.isHedgeable(), false, this.hedgedBefore || isInProgress(), this.state.canStartSecondRun(),
				this.runGuard.isSuspected(), isReachable);
	}

	private void onHedgePrepared(Silence current, HedgeCandidate candidate, RunPreparation.Result result) {
		if (!isCurrent(current)) {
			return;
		}
		this.silence = Optional.empty();
		if (!(result instanceof RunPreparation.Result.Ready ready)) {
			this.context.metrics().recordHedgeSkipped(findHedgeObstacle(result).label());
			return;
		}
		long nowNanos = System.nanoTime();
		if (!this.context.hedging().orElseThrow().tryAcquireRun(candidate, nowNanos)) {
			this.context.retryBudget().returnRetry(candidate.service());
			this.context.metrics().recordHedgeSkipped(HedgeObstacle.LIMIT.label());
			return;
		}
		this.hedgedBefore = true;
		this.lateRun = Optional.of(current.silent());
		RequestEventLog.logHedgeSent(this.admitted, current.silent().target(), ready.target(),
				nowNanos - current.silent().sentNanos());
		send(ready.target());
	}

	private static HedgeObstacle findHedgeObstacle(RunPreparation.Result result) {
		if (!(result instanceof RunPreparation.Result.Blocked blocked)) {
			return HedgeObstacle.SUSPECTED;
		}
		return switch (blocked.obstacle()) {
			case BUDGET_SPENT -> HedgeObstacle.BUDGET;
			case NO_TARGET -> HedgeObstacle.NO_CAPACITY;
			case LOST_RUN_UNEXPLAINED, OTHER_RUN, TARGET_UNRESPONSIVE, NOT_NEEDED -> HedgeObstacle.SUSPECTED;
		};
	}

	/**
	 * Returns whether a hedged run is in progress.
	 * @return false also if it has become an ordinary successor
	 */
	boolean isHedging() {
		return this.lateRun.isPresent();
	}

	// A crash of its replica counts as long as the silent run goes on.
	private void resumeIfCurrent(Attempt silent) {
		if (this.owner.isCurrent(silent)) {
			this.runGuard.resumeRun(silent);
		}
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
		this.context.metrics().recordSuccessorStarted();
		RequestEventLog.logSuccessorSent(this.admitted, current.silent().target(), next, current.cause(),
				this.owner.silentNanos(current.silent()));
		send(next);
	}

	private void send(Target next) {
		this.state.recordSend();
		this.streamHead = Optional.empty();
		this.framer.reset();
		this.received = Buffer.buffer();
		this.recovery.onAttemptStart(false);
		Attempt started = new Attempt(this.context, this.owner.nextRequest(), next, this);
		this.successor = Optional.of(started);
		started.start();
	}

	// Must be called before the runs of the request are ended.
	private void endHedge(HedgeResult result) {
		this.lateRun.ifPresent((first) -> {
			Attempt second = this.successor.orElseThrow();
			this.context.metrics().recordHedge(result.label());
			RequestEventLog.logHedgeEnded(this.admitted, second.target(), result.label());
			if (result == HedgeResult.FIRST_WON) {
				recordLoser(second);
			}
			else if (result == HedgeResult.SECOND_WON) {
				recordLoser(first);
			}
			boolean isCancelled = result == HedgeResult.FIRST_WON || result == HedgeResult.NO_WINNER;
			if (isCancelled && !second.isSent()) {
				this.context.retryBudget().returnRetry(this.admitted.service().name());
			}
		});
		this.lateRun = Optional.empty();
	}

	private void recordLoser(Attempt loser) {
		if (loser.isSent()) {
			this.context.metrics()
				.recordHedgeLoser(loser.answerOrigin() != AnswerOrigin.NONE, System.nanoTime() - loser.sentNanos(),
						this.admitted.head().promptTokens().orElse(0));
		}
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

	/** Ends the successor, if there is one, because the other run has responded. */
	void cancelForResponse() {
		endHedge(HedgeResult.FIRST_WON);
		this.successor.ifPresent(this.runGuard::end);
		cancel();
	}

	/**
	 * Cancels the successor, if there is one, because the request has ended. Its run,
	 * which got no response, is left to the guard.
	 */
	void cancel() {
		endHedge(HedgeResult.NO_WINNER);
		this.silence = Optional.empty();
		this.successor.ifPresent((running) -> {
			this.state.recordOutcome(running.isSent() ? AttemptOutcome.LOST : AttemptOutcome.NOT_SENT);
			running.cancel();
		});
		this.successor = Optional.empty();
	}

	/**
	 * Hands over the successor although it has not responded, since the other run has
	 * ended.
	 * @return the successor, empty if none was sent
	 */
	Optional<Successor> take() {
		return take(HedgeResult.FIRST_FAILED);
	}

	private Optional<Successor> take(HedgeResult hedgeResult) {
		this.silence = Optional.empty();
		boolean isHedge = isHedging();
		endHedge(hedgeResult);
		Optional<Successor> taken = this.successor
			.map((running) -> new Successor(running, this.streamHead, this.received, isHedge));
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
		if (isHedging() && this.framer.hasPartialEvent()) {
			onFailure(AttemptOutcome.LOST, "stream ended within an event", Optional.empty());
			return;
		}
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
		return this.owner.takeOver(take(HedgeResult.SECOND_WON).orElseThrow());
	}

	@Override
	public void onFailure(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress) {
		Attempt failed = this.successor.orElseThrow();
		boolean wasHedge = isHedging();
		endHedge(HedgeResult.SECOND_FAILED);
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
		if (outcome.verdict() != Verdict.NOT_RUN) {
			this.targetSelector.keepHere();
		}
		this.runGuard.recordFailure(failed, outcome, faultAddress.flatMap(this.context.directory()::findByAddress));
		if (!wasHedge) {
			this.owner.onSuccessorFailure(cause);
		}
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
	 * @param isHedge whether it is a hedged run, so that the other run counts as sound
	 */
	record Successor(Attempt attempt, Optional<HttpClientResponse> streamHead, Buffer received, boolean isHedge) {

	}

	private record Silence(Attempt silent, String cause) {

	}

	/**
	 * What became of a hedged run.
	 */
	private enum HedgeResult {

		/** The first run has responded first. */
		FIRST_WON("first_won"),

		/** The hedged run has responded first. */
		SECOND_WON("second_won"),

		/** The first run has failed; the hedged run goes on. */
		FIRST_FAILED("first_failed"),

		/** The hedged run has failed; the first run goes on. */
		SECOND_FAILED("second_failed"),

		/** The first run has fallen silent; the hedged run is its successor. */
		BECAME_SUCCESSOR("became_successor"),

		/** The request has ended without a response. */
		NO_WINNER("no_winner");

		private final String label;

		HedgeResult(String label) {
			this.label = label;
		}

		private String label() {
			return this.label;
		}

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
