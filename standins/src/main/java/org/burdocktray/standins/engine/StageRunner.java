package org.burdocktray.standins.engine;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.burdocktray.standins.FreezeGate;
import org.burdocktray.standins.model.Tokens;

/**
 * Runs the steps of this engine and forwards the outputs to the next stage. The layers
 * run synchronously when a step arrives and only its response is delayed, so that two
 * steps never interleave. A refused step has run no layers. Thread safety: confined to
 * one event loop.
 */
final class StageRunner {

	private final Vertx vertx;

	private final EngineOptions options;

	private final StreamTable streams;

	private final ExecutionLog log;

	private final FreezeGate gate;

	private final StageClient client;

	private final StepPacer pacer;

	private final Runnable crash;

	private EngineFaults faults = EngineFaults.NONE;

	private int positionsSinceFaults;

	private long staleRefused;

	private boolean wakeUpScheduled;

	StageRunner(Vertx vertx, EngineOptions options, StreamTable streams, ExecutionLog log, FreezeGate gate,
			StageClient client, Runnable crash) {
		this.vertx = vertx;
		this.options = options;
		this.streams = streams;
		this.log = log;
		this.gate = gate;
		this.client = client;
		this.pacer = new StepPacer(options.tokensPerSecond());
		this.crash = crash;
	}

	void setFaults(EngineFaults newFaults) {
		this.faults = newFaults;
		this.positionsSinceFaults = 0;
	}

	long staleRefused() {
		return this.staleRefused;
	}

	/**
	 * Runs the positions that have not run yet and forwards their outputs.
	 * @param steps the steps
	 * @param loaded the layers that the engine holds
	 * @return the token of the last position; fails with a {@link StepRefusedException}
	 * or a {@link StageFailureException}
	 */
	Future<String> run(StepsRequest steps, LoadedLayers loaded) {
		if (!steps.isWellFormed()) {
			return Future.failedFuture(StepRefusedException.malformed("no activations or no such stage"));
		}
		if (!this.streams.isCurrentAttempt(steps.streamId(), steps.attempt())) {
			return rejectStaleAttempt(steps);
		}
		boolean isLoaded = this.streams.find(steps.streamId())
			.map((stream) -> stream.matches(steps.identity(), steps.stage()))
			.orElseGet(() -> loaded.serves(steps.identity(), steps.stage()));
		if (!isLoaded) {
			return Future.failedFuture(StepRefusedException.otherLayers());
		}
		if (this.faults.failAfterSteps() > 0 && this.positionsSinceFaults >= this.faults.failAfterSteps()) {
			return Future.failedFuture(new StageFailureException(steps.stageIndex(), "fault", false));
		}
		StreamState state = this.streams.startAttempt(steps.streamId(), steps.attempt(), steps.identity(),
				steps.stage(), System.nanoTime());
		if (steps.fromPosition() > state.nextPosition()) {
			return Future.failedFuture(StepRefusedException.expected(state.nextPosition()));
		}
		return runLayers(steps, state);
	}

	private Future<String> runLayers(StepsRequest steps, StreamState state) {
		int count = state.run(steps.fromPosition(), steps.activations(), (output) -> recordStep(steps, state, output));
		this.positionsSinceFaults += count;
		Promise<String> token = Promise.promise();
		if (this.faults.crashAfterSteps() > 0 && this.positionsSinceFaults >= this.faults.crashAfterSteps()) {
			this.crash.run();
			return token.future();
		}
		delayCompletion(count, steps.priority(), () -> forward(steps, state, token));
		return token.future();
	}

	private void recordStep(StepsRequest steps, StreamState state, long output) {
		int position = state.nextPosition() - 1;
		boolean hasToken = steps.isAtLastStage() && position == steps.lastPosition();
		this.log.add(new ExecutedStep(steps.streamId(), steps.attempt(), position, steps.stage().fromLayer(),
				steps.stage().toLayer(), (hasToken) ? Tokens.decode(output) : ""));
	}

	private void forward(StepsRequest steps, StreamState state, Promise<String> token) {
		if (!this.streams.isCurrentAttempt(steps.streamId(), steps.attempt())) {
			rejectStaleAttempt(steps).onComplete(token);
			return;
		}
		int lastPosition = steps.lastPosition();
		if (steps.isAtLastStage()) {
			token.complete(Tokens.decode(state.output(lastPosition)));
			return;
		}
		List<String> outputs = state.outputsBetween(steps.fromPosition(), lastPosition + 1);
		StepsRequest next = steps.forNextStage(steps.fromPosition(), outputs);
		this.client.send(next, state).onComplete((result) -> this.gate.submit(() -> token.handle(result)));
		if (this.faults.duplicateSteps()) {
			this.client.send(next, state);
		}
		if (this.faults.lateStepMillis() > 0) {
			this.vertx.setTimer(this.faults.lateStepMillis(),
					(timer) -> this.gate.submit(() -> this.client.send(next, state)));
		}
	}

	private Future<String> rejectStaleAttempt(StepsRequest steps) {
		this.staleRefused++;
		return Future.failedFuture(StepRefusedException.staleAttempt(steps.attempt()));
	}

	private void delayCompletion(int positions, int priority, Runnable action) {
		long delayMillis = this.options.stepMillis() + this.faults.stepDelayMillis();
		if (delayMillis > 0) {
			this.vertx.setTimer(delayMillis, (timer) -> enqueue(positions, priority, action));
			return;
		}
		enqueue(positions, priority, action);
	}

	private void enqueue(int positions, int priority, Runnable action) {
		this.pacer.offer(positions, priority, () -> this.gate.submit(action), System.nanoTime());
		if (this.wakeUpScheduled) {
			return;
		}
		this.wakeUpScheduled = true;
		// Deferred, since an engine without a rate limit would recurse otherwise.
		this.vertx.runOnContext((ignored) -> completeFinishedSteps());
	}

	private void completeFinishedSteps() {
		this.wakeUpScheduled = false;
		this.pacer.takeFinished(System.nanoTime()).forEach(Runnable::run);
		this.pacer.nextFinishNanos().ifPresent(this::scheduleWakeUp);
	}

	private void scheduleWakeUp(long finishNanos) {
		if (this.wakeUpScheduled) {
			return;
		}
		this.wakeUpScheduled = true;
		long delayMillis = TimeUnit.NANOSECONDS.toMillis(finishNanos - System.nanoTime());
		this.vertx.setTimer(Math.max(1, delayMillis), (timer) -> completeFinishedSteps());
	}

}
