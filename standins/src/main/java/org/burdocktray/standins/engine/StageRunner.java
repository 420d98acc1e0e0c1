package org.burdocktray.standins.engine;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.burdocktray.standins.model.Tokens;

/**
 * Runs the steps of this engine and hands them on. Invariant: the layers are run at once
 * when a step enters and only its answer is paced, so that two steps never meet half-way;
 * a refused step has run nothing. Thread safety: belongs to one event loop.
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
	 * Runs the positions that have not been run, and hands the outputs on.
	 * @param steps the steps
	 * @param loaded the layers that the engine holds
	 * @return the token of the last position, a {@link StepRefusedException} or a
	 * {@link StageFailureException}
	 */
	Future<String> run(StepsRequest steps, LoadedLayers loaded) {
		if (!steps.isWellFormed()) {
			return Future.failedFuture(StepRefusedException.malformed("no activations or no such stage"));
		}
		if (!this.streams.isCurrentAttempt(steps.streamId(), steps.attempt())) {
			return rejectStaleAttempt(steps);
		}
		boolean isHeld = this.streams.find(steps.streamId())
			.map((stream) -> stream.matches(steps.identity(), steps.stage()))
			.orElseGet(() -> loaded.serves(steps.identity(), steps.stage()));
		if (!isHeld) {
			return Future.failedFuture(StepRefusedException.otherLayers());
		}
		if (this.faults.failAfterSteps() > 0 && this.positionsSinceFaults >= this.faults.failAfterSteps()) {
			return Future.failedFuture(new StageFailureException(steps.stageIndex(), "fault", false));
		}
		StreamState kept = this.streams.startAttempt(steps.streamId(), steps.attempt(), steps.identity(), steps.stage(),
				System.nanoTime());
		if (steps.fromPosition() > kept.nextPosition()) {
			return Future.failedFuture(StepRefusedException.expected(kept.nextPosition()));
		}
		return runLayers(steps, kept);
	}

	private Future<String> runLayers(StepsRequest steps, StreamState kept) {
		int count = kept.run(steps.fromPosition(), steps.activations(), (output) -> log(steps, kept, output));
		this.positionsSinceFaults += count;
		Promise<String> token = Promise.promise();
		if (this.faults.crashAfterSteps() > 0 && this.positionsSinceFaults >= this.faults.crashAfterSteps()) {
			this.crash.run();
			return token.future();
		}
		delayCompletion(count, steps.priority(), () -> forward(steps, kept, token));
		return token.future();
	}

	private void log(StepsRequest steps, StreamState kept, long output) {
		int position = kept.nextPosition() - 1;
		boolean givesToken = steps.isAtLastStage() && position == steps.lastPosition();
		this.log.add(new ExecutedStep(steps.streamId(), steps.attempt(), position, steps.stage().fromLayer(),
				steps.stage().toLayer(), (givesToken) ? Tokens.decode(output) : ""));
	}

	private void forward(StepsRequest steps, StreamState kept, Promise<String> token) {
		if (!this.streams.isCurrentAttempt(steps.streamId(), steps.attempt())) {
			rejectStaleAttempt(steps).onComplete(token);
			return;
		}
		int lastPosition = steps.lastPosition();
		if (steps.isAtLastStage()) {
			token.complete(Tokens.decode(kept.output(lastPosition)));
			return;
		}
		List<String> outputs = kept.outputsBetween(steps.fromPosition(), lastPosition + 1);
		StepsRequest next = steps.forNextStage(steps.fromPosition(), outputs);
		this.client.send(next, kept).onComplete((result) -> this.gate.submit(() -> token.handle(result)));
		if (this.faults.duplicateSteps()) {
			this.client.send(next, kept);
		}
		if (this.faults.lateStepMillis() > 0) {
			this.vertx.setTimer(this.faults.lateStepMillis(),
					(timer) -> this.gate.submit(() -> this.client.send(next, kept)));
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
		// Never at once, so that an engine without a rate doesn't recurse.
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
