package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.request.forward.EventFramer;
import org.burdocktray.request.forward.ForwardState;
import org.burdocktray.request.forward.ResponseTiming;
import org.burdocktray.request.forward.WaitingRequest;
import org.burdocktray.version.rules.RequestKind;

/**
 * One admitted request, from its first attempt to its final answer. Invariants: it gets
 * one final answer; a request that may have run is not refused as not run, and is sent
 * again only if it is repeatable. Thread safety: confined to one event loop.
 */
final class ForwardExchange implements Attempt.Listener, StreamRecovery.Owner {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final int FIRST_SERVER_ERROR = 500;

	/** The part of a caller's patience that its request waits for room. */
	private static final double FIRST_WAIT_SHARE = 0.8;

	/** The part of a caller's patience that a stream which broke off waits for room. */
	private static final double NEXT_WAIT_SHARE = 0.85;

	/** The part of a caller's patience after which a replica's silence is a failure. */
	private static final double SILENT_SHARE = 0.5;

	private static final double ENGINE_RETRY_AFTER_SECONDS = 1;

	private static final double SERVICE_RETRY_AFTER_SECONDS = 0.1;

	/** The share of the time left that a repeatable call without an answer is given. */
	private static final double CALL_TIME_SHARE = 0.45;

	private final GatewayContext context;

	private final Admitted admitted;

	private final CallerAnswer answer;

	private final RequestsUnderWay underWay;

	private final ForwardState state;

	private final TargetChoice choice;

	private final StreamRecovery recovery;

	private final ReplicaHealth health;

	private final EventFramer framer = new EventFramer();

	private final ResponseTiming timing = new ResponseTiming(System.nanoTime());

	private Optional<Attempt> attempt = Optional.empty();

	private Optional<HttpClientResponse> streamHead = Optional.empty();

	private boolean waiting;

	private boolean ended;

	private long allowedMillis;

	private long endTimer;

	private String lastCause = "";

	ForwardExchange(GatewayContext context, Admitted admitted, CallerAnswer answer, RequestsUnderWay underWay) {
		this.context = context;
		this.admitted = admitted;
		this.answer = answer;
		this.underWay = underWay;
		this.state = new ForwardState(admitted.route());
		this.choice = new TargetChoice(context, admitted.service(), admitted.head());
		this.health = new ReplicaHealth(context);
		this.recovery = new StreamRecovery(context, admitted, this.choice, this);
	}

	void start() {
		this.underWay.add(this);
		this.context.retryBudget().first(this.admitted.service().name(), System.nanoTime());
		this.answer.onCallerGone(this::callerGone);
		this.allowedMillis = Math.max(1, this.admitted.request().remainingMillis());
		this.endTimer = this.context.vertx().setTimer(this.allowedMillis, (timer) -> timeIsUp());
		dispatch();
	}

	/** Tries again to find room, for a request that waits. */
	void dispatchWaiting() {
		if (this.waiting && !this.ended) {
			dispatch();
		}
	}

	boolean isWaiting() {
		return this.waiting;
	}

	WaitingRequest turn() {
		return new WaitingRequest(this.admitted.priority(), this.answer.isBegun(), this.timing.startNanos(),
				this.admitted.route().targetLatencyMillis() * NANOS_PER_MILLI);
	}

	private void dispatch() {
		Optional<Target> target = this.choice.next();
		if (target.isEmpty()) {
			waitOrGiveUp();
			return;
		}
		this.waiting = false;
		long nowNanos = System.nanoTime();
		if (this.state.isRetry() && !this.context.retryBudget().take(this.admitted.service().name(), nowNanos)) {
			giveUp("retry budget is spent");
			return;
		}
		send(target.get());
	}

	private void waitOrGiveUp() {
		double share = this.answer.isBegun() ? NEXT_WAIT_SHARE : FIRST_WAIT_SHARE;
		long since = this.answer.isBegun() ? this.recovery.progressNanos() : this.timing.startNanos();
		double waitNanos = share * this.admitted.route().patienceMillis() * NANOS_PER_MILLI;
		boolean mayWait = System.nanoTime() - since < waitNanos && (this.answer.isBegun() || this.choice.canWait());
		if (!mayWait) {
			giveUp("no replica can take the request");
			return;
		}
		this.waiting = true;
	}

	private void send(Target target) {
		this.state.recordSend();
		this.framer.reset();
		this.recovery.sending(this.answer.isBegun());
		Optional<String> from = this.framer.lastEventId().or(this.admitted.head()::lastEventId);
		Attempt next = new Attempt(this.context, this.admitted.request().behind(from), target, this);
		this.attempt = Optional.of(next);
		RequestEvents.sending(this.admitted, target, this.state);
		next.start();
		limitCall(next);
	}

	private void limitCall(Attempt limited) {
		if (this.admitted.route().kind() != RequestKind.IDEMPOTENT || this.ended) {
			return;
		}
		long limitMillis = (long) (CALL_TIME_SHARE * this.admitted.request().remainingMillis());
		this.context.vertx().setTimer(Math.max(1, limitMillis), (timer) -> {
			if (isCurrent(limited) && this.state.canAbandonAttempt()) {
				limited.cancel();
				failed(limited.isSent() ? AttemptOutcome.LOST : AttemptOutcome.NOT_SENT, "no answer in time",
						Optional.empty());
			}
		});
	}

	@Override
	public void answered(HttpClientResponse head, Buffer body) {
		Replica replica = current().target().replica();
		boolean isFailure = head.statusCode() >= FIRST_SERVER_ERROR;
		this.health.answered(replica, isFailure);
		if (isFailure) {
			this.state.recordOutcome(AttemptOutcome.FAILED);
			this.choice.exclude(replica);
			if (this.state.canRetry() && this.streamHead.isEmpty()
					&& this.context.retryBudget().take(this.admitted.service().name(), System.nanoTime())) {
				Optional<Target> other = this.choice.next();
				if (other.isPresent()) {
					send(other.get());
					return;
				}
			}
		}
		if (this.streamHead.isPresent()) {
			breakOff("replica answered a resumed stream with status " + head.statusCode());
			return;
		}
		finish();
		this.answer.deliver(head, body);
		RequestEvents.ended(this.admitted, head.statusCode(), Verdict.RAN, "answered by " + replica.id(), this.timing);
	}

	@Override
	public void streamBegins(HttpClientResponse head) {
		if (this.streamHead.isEmpty()) {
			this.streamHead = Optional.of(head);
			return;
		}
		this.recovery.progressed();
	}

	@Override
	public void streamGoesOn(Buffer bytes) {
		this.recovery.progressed();
		byte[] events = this.framer.accept(bytes.getBytes());
		if (events.length == 0) {
			return;
		}
		this.timing.recordEvents(System.nanoTime());
		if (!this.answer.isBegun()) {
			this.context.metrics().firstByte(System.nanoTime() - this.timing.startNanos());
			current().target().replicas().forEach(this.context.loads()::succeeded);
			this.answer.beginStream(this.streamHead.orElseThrow());
		}
		Attempt source = current();
		if (!this.answer.write(Buffer.buffer(events), source::resume)) {
			source.pause();
		}
	}

	@Override
	public void streamEnds() {
		Replica replica = current().target().replica();
		if (this.framer.hasPartialEvent()) {
			failed(AttemptOutcome.LOST, "stream ended within an event", Optional.empty());
			return;
		}
		this.health.answered(replica, false);
		finish();
		if (!this.answer.isBegun()) {
			this.answer.beginStream(this.streamHead.orElseThrow());
		}
		this.answer.endStream();
		RequestEvents.ended(this.admitted, this.streamHead.orElseThrow().statusCode(), Verdict.RAN,
				"stream ended by " + replica.id(), this.timing);
	}

	@Override
	public void failed(AttemptOutcome outcome, String cause, Optional<NetworkAddress> faultAddress) {
		if (this.ended) {
			return;
		}
		Target target = current().target();
		this.lastCause = cause;
		this.state.recordOutcome(outcome);
		this.context.metrics().attemptEnded(outcome.name());
		RequestEvents.attemptFailed(this.admitted, target, outcome, cause, faultAddress);
		if (this.health.failed(target.replica(), outcome, faultAddress)) {
			this.choice.exclude(target.replica());
		}
		this.attempt = Optional.empty();
		if (!this.answer.isBegun()) {
			this.streamHead = Optional.empty();
		}
		if (!this.state.canRetry()) {
			giveUp(cause);
			return;
		}
		dispatch();
	}

	/**
	 * Looks whether the stream is stuck.
	 * @param nowNanos the time
	 */
	void checkProgress(long nowNanos) {
		if (!this.ended) {
			this.attempt.ifPresent((running) -> this.recovery.check(running, nowNanos));
		}
	}

	/**
	 * Takes another path when the stream is stuck at an engine.
	 * @param engine the engine that does not answer
	 */
	void engineIsDead(Replica engine) {
		if (!this.ended) {
			this.attempt.ifPresent((running) -> this.recovery.engineIsDead(running, engine));
		}
	}

	@Override
	public void leave(Attempt stuck, String cause) {
		if (this.state.canRetry()) {
			stuck.cancel();
			failed(AttemptOutcome.LOST, cause, Optional.empty());
		}
	}

	@Override
	public boolean isCurrent(Attempt other) {
		return !this.ended && this.attempt.isPresent() && this.attempt.get() == other;
	}

	@Override
	public void engineFound(Replica engine) {
		this.underWay.engineIsDead(engine);
	}

	/** Ends the request now, since the process stops. */
	void stop() {
		if (!this.ended) {
			cancelAttempt();
			giveUp("VM is stopping", CallerAnswer.OTHER_VM_RETRY_AFTER_SECONDS);
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

	private void timeIsUp() {
		if (this.ended) {
			return;
		}
		noteSilence();
		cancelAttempt();
		if (this.answer.isBegun()) {
			breakOff("time is up");
			return;
		}
		int status = (this.state.verdict() == Verdict.NOT_RUN) ? SERVICE_UNAVAILABLE : GATEWAY_TIMEOUT;
		refuse(status, "time is up", serviceRetryAfterSeconds());
	}

	private void callerGone() {
		if (this.ended) {
			return;
		}
		noteSilence();
		this.attempt.ifPresent(Attempt::cancel);
		finish();
		RequestEvents.ended(this.admitted, 0, Verdict.MAY_HAVE_RUN, "caller went away", this.timing);
	}

	// A replica that keeps a request without any answer for that long has failed,
	// whatever
	// its health check says.
	private void noteSilence() {
		long patienceMillis = Math.min(this.allowedMillis, this.admitted.route().patienceMillis());
		double silentNanos = SILENT_SHARE * patienceMillis * NANOS_PER_MILLI;
		this.attempt.filter(Attempt::isSent)
			.filter((running) -> !this.answer.isBegun())
			.filter((running) -> System.nanoTime() - running.sentNanos() >= silentNanos)
			.ifPresent((running) -> this.health.answered(running.target().replica(), true));
	}

	private void giveUp(String cause) {
		giveUp(cause, serviceRetryAfterSeconds());
	}

	private void giveUp(String cause, double retryAfterSeconds) {
		if (this.answer.isBegun()) {
			breakOff(cause);
			return;
		}
		int status = (this.state.verdict() == Verdict.NOT_RUN) ? SERVICE_UNAVAILABLE : BAD_GATEWAY;
		refuse(status, cause, retryAfterSeconds);
	}

	private double serviceRetryAfterSeconds() {
		return this.admitted.service().engine().isPresent() ? ENGINE_RETRY_AFTER_SECONDS : SERVICE_RETRY_AFTER_SECONDS;
	}

	private void refuse(int status, String cause, double retryAfterSeconds) {
		finish();
		this.answer.refuse(status, this.state.verdict(), cause, retryAfterSeconds);
		RequestEvents.ended(this.admitted, status, this.state.verdict(), cause + "; last attempt: " + this.lastCause,
				this.timing);
	}

	private void breakOff(String cause) {
		finish();
		this.answer.breakOff();
		RequestEvents.ended(this.admitted, 0, Verdict.MAY_HAVE_RUN, "stream broken off: " + cause, this.timing);
	}

	private void finish() {
		this.ended = true;
		this.waiting = false;
		this.attempt = Optional.empty();
		this.context.vertx().cancelTimer(this.endTimer);
		this.underWay.remove(this);
	}

	private Attempt current() {
		return this.attempt.orElseThrow();
	}

}
