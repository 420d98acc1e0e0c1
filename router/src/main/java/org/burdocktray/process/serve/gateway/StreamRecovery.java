package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;

/**
 * Finds out why a stream on engines is silent, and takes it past the engine that holds it
 * up. The first engine of its path is asked; it knows for which engine the stream waits.
 * Then all streams through that engine change their path behind the first engine, which
 * keeps what the other engines have read, or are resumed elsewhere. Thread safety:
 * confined to one event loop.
 */
final class StreamRecovery {

	/** The silence of a stream after which its first engine is asked. */
	private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** The silence after which a stream through a dead engine takes another path. */
	private static final long FAILED_ENGINE_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Answers of a first engine without a reason after which the stream leaves it. */
	private static final int MAX_UNEXPLAINED_REPORTS = 2;

	private static final long FAILED_ENGINE_AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final GatewayContext context;

	private final AdmittedRequest admitted;

	private final TargetSelector targetSelector;

	private final Owner owner;

	private long progressNanos = System.nanoTime();

	private long lastCheckNanos = System.nanoTime();

	private boolean pathChangePending;

	private int unexplainedReports;

	StreamRecovery(GatewayContext context, AdmittedRequest admitted, TargetSelector choice, Owner owner) {
		this.context = context;
		this.admitted = admitted;
		this.targetSelector = choice;
		this.owner = owner;
	}

	/**
	 * Notes that an attempt begins.
	 * @param isResumed whether the caller has had events already, and waits for the next
	 */
	void onAttemptStart(boolean isResumed) {
		this.lastCheckNanos = System.nanoTime();
		this.pathChangePending = false;
		this.unexplainedReports = 0;
		if (!isResumed) {
			this.progressNanos = this.lastCheckNanos;
		}
	}

	/** Notes that bytes of the stream came. */
	void recordProgress() {
		this.progressNanos = System.nanoTime();
		this.unexplainedReports = 0;
	}

	long progressNanos() {
		return this.progressNanos;
	}

	void check(Attempt running, long nowNanos) {
		boolean isSilent = nowNanos - this.progressNanos > STALL_NANOS && nowNanos - this.lastCheckNanos > STALL_NANOS;
		if (!isSilent || this.pathChangePending || !running.isRunningOnEngines()) {
			return;
		}
		this.lastCheckNanos = nowNanos;
		this.context.monitor()
			.requestReport(running.target().replica())
			.subscribe((answer) -> onHeadReport(running, answer));
	}

	void onEngineFailure(Attempt running, Replica engine) {
		boolean isSilent = System.nanoTime() - this.progressNanos > FAILED_ENGINE_STALL_NANOS;
		if (!isSilent || this.pathChangePending || !running.isRunningOnEngines()
				|| !running.target().contains(engine)) {
			return;
		}
		Optional<Target> other = this.targetSelector.selectBehindHead(running.target());
		Optional<String> requestId = this.admitted.head().requestId();
		if (other.isEmpty() || requestId.isEmpty()) {
			this.owner.abandonAttempt(running, "engine " + engine.id() + " is silent");
			return;
		}
		this.pathChangePending = true;
		this.context.engineControl()
			.orderPath(requestId.get(), other.get().path().orElseThrow())
			.subscribe((result) -> onPathOrderResult(running, other.get(), engine, result));
	}

	private void onHeadReport(Attempt asked, Either<String, LoadReport> answer) {
		if (!this.owner.isCurrent(asked)) {
			return;
		}
		if (answer.isLeft()) {
			this.owner.abandonAttempt(asked, "first engine is silent: " + answer.getLeft());
			return;
		}
		Optional<LoadReport.StalledRequest> found = answer.get()
			.stalledRequests()
			.stream()
			.filter((stalled) -> this.admitted.head().requestId().equals(Optional.of(stalled.requestId())))
			.findFirst();
		if (found.isEmpty()) {
			onUnexplainedStall(asked, answer.get());
			return;
		}
		this.context.directory().findByAddress(found.get().waitsFor()).ifPresent((engine) -> {
			this.context.loads().avoid(engine, System.nanoTime() + FAILED_ENGINE_AVOID_NANOS);
			this.owner.onEngineFailureDetected(engine);
		});
	}

	// An engine with nothing in its queue that waits for no other one has no reason to be
	// silent, whatever it reports.
	private void onUnexplainedStall(Attempt asked, LoadReport report) {
		if (report.queued() > 0) {
			this.unexplainedReports = 0;
			return;
		}
		this.unexplainedReports++;
		if (this.unexplainedReports >= MAX_UNEXPLAINED_REPORTS) {
			this.owner.abandonAttempt(asked, "first engine reports no reason for its silence");
		}
	}

	private void onPathOrderResult(Attempt stuck, Target next, Replica engine, EngineControl.OrderResult result) {
		if (!this.owner.isCurrent(stuck)) {
			return;
		}
		this.pathChangePending = false;
		RequestEventLog.logPathChanged(this.admitted, next, engine, result);
		if (result == EngineControl.OrderResult.ACCEPTED) {
			recordProgress();
			stuck.switchTarget(next);
			return;
		}
		this.owner.abandonAttempt(stuck, "path could not be changed: " + result);
	}

	/**
	 * The request whose stream is watched.
	 */
	interface Owner {

		/**
		 * Tells whether an attempt is still the one whose answer counts.
		 * @param attempt the attempt
		 * @return whether it is
		 */
		boolean isCurrent(Attempt attempt);

		/**
		 * Gives up an attempt and goes on elsewhere, if the request may be sent again.
		 * @param attempt the attempt
		 * @param cause why
		 */
		void abandonAttempt(Attempt attempt, String cause);

		/**
		 * Takes in that an engine holds streams up.
		 * @param engine the engine
		 */
		void onEngineFailureDetected(Replica engine);

	}

}
