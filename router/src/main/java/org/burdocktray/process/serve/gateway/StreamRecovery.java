package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;

/**
 * Determines why a stream on engines has stalled, and routes it around the engine that
 * blocks it. The first engine of the path is queried, since its report names the engine
 * for which the stream waits. All stalled streams through that engine then change their
 * path behind the first engine, which preserves what the remaining engines have already
 * processed, or are resumed on other engines. Thread safety: confined to one event loop.
 */
final class StreamRecovery {

	/** The time without progress after which the first engine of a stream is queried. */
	private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * The time without progress after which a stream through a failed engine changes its
	 * path.
	 */
	private static final long FAILED_ENGINE_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * Consecutive reports of a first engine without a cause of the stall after which the
	 * stream leaves the engine.
	 */
	private static final int UNEXPLAINED_REPORT_THRESHOLD = 2;

	private static final long FAILED_ENGINE_AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final GatewayContext context;

	private final AdmittedRequest admitted;

	private final TargetSelector targetSelector;

	private final Owner owner;

	private long progressNanos = System.nanoTime();

	private long lastCheckNanos = System.nanoTime();

	private boolean pathChangePending;

	private int unexplainedReports;

	StreamRecovery(GatewayContext context, AdmittedRequest admitted, TargetSelector targetSelector, Owner owner) {
		this.context = context;
		this.admitted = admitted;
		this.targetSelector = targetSelector;
		this.owner = owner;
	}

	/**
	 * Records the start of an attempt.
	 * @param isResumed whether the caller has received events already and waits for the
	 * next one
	 */
	void onAttemptStart(boolean isResumed) {
		this.lastCheckNanos = System.nanoTime();
		this.pathChangePending = false;
		this.unexplainedReports = 0;
		if (!isResumed) {
			this.progressNanos = this.lastCheckNanos;
		}
	}

	/** Records that data of the stream has arrived. */
	void recordProgress() {
		this.progressNanos = System.nanoTime();
		this.unexplainedReports = 0;
	}

	long progressNanos() {
		return this.progressNanos;
	}

	void check(Attempt attempt, long nowNanos) {
		boolean isStalled = nowNanos - this.progressNanos > STALL_NANOS && nowNanos - this.lastCheckNanos > STALL_NANOS;
		if (!isStalled || this.pathChangePending || !attempt.isRunningOnEngines() || isPaused(attempt)) {
			return;
		}
		this.lastCheckNanos = nowNanos;
		this.context.monitor()
			.requestReport(attempt.target().replica())
			.subscribe((report) -> onHeadReport(attempt, report));
	}

	void onEngineFailure(Attempt attempt, Replica engine) {
		boolean isStalled = System.nanoTime() - this.progressNanos > FAILED_ENGINE_STALL_NANOS;
		if (!isStalled || this.pathChangePending || !attempt.isRunningOnEngines() || isPaused(attempt)
				|| !attempt.target().contains(engine)) {
			return;
		}
		Optional<Target> newTarget = this.targetSelector.selectBehindHead(attempt.target());
		Optional<String> requestId = this.admitted.head().requestId();
		if (newTarget.isEmpty() || requestId.isEmpty()) {
			this.owner.startSuccessor(attempt, "engine " + engine.id() + " is silent");
			return;
		}
		this.pathChangePending = true;
		this.owner.preparePathChange(attempt, engine, newTarget.get())
			.subscribe((prepared) -> onPathChangePrepared(attempt, newTarget.get(), engine, prepared));
	}

	// Time in which the caller does not read is no silence of the replica.
	private boolean isPaused(Attempt attempt) {
		if (attempt.isPaused()) {
			recordProgress();
		}
		return attempt.isPaused();
	}

	private void onPathChangePrepared(Attempt attempt, Target next, Replica engine, PathChange prepared) {
		if (!this.owner.isCurrent(attempt)) {
			return;
		}
		if (prepared == PathChange.ALLOWED) {
			this.context.engineControl()
				.orderPath(this.admitted.head().requestId().orElseThrow(), next.path().orElseThrow())
				.subscribe((result) -> onPathOrderResult(attempt, next, engine, result));
			return;
		}
		this.pathChangePending = false;
		if (prepared == PathChange.ENGINE_UNRESPONSIVE) {
			onEngineFailure(attempt, engine);
			return;
		}
		this.owner.startSuccessor(attempt, "engine " + engine.id() + " is silent");
	}

	private void onHeadReport(Attempt attempt, Either<String, LoadReport> report) {
		boolean hasGoneOn = this.progressNanos - this.lastCheckNanos > 0;
		if (!this.owner.isCurrent(attempt) || hasGoneOn) {
			return;
		}
		if (report.isLeft()) {
			this.owner.startSuccessor(attempt, "first engine is silent: " + report.getLeft());
			return;
		}
		Optional<LoadReport.StalledRequest> stalledRequest = report.get()
			.stalledRequests()
			.stream()
			.filter((stalled) -> this.admitted.head().requestId().equals(Optional.of(stalled.requestId())))
			.findFirst();
		if (stalledRequest.isEmpty()) {
			onUnexplainedStall(attempt, report.get());
			return;
		}
		this.context.directory().findByAddress(stalledRequest.get().waitsFor()).ifPresent((engine) -> {
			this.context.loads().avoid(engine, System.nanoTime() + FAILED_ENGINE_AVOID_NANOS);
			this.owner.onEngineFailureDetected(engine);
		});
	}

	// A first engine with an empty queue that waits for no other engine has no reason to
	// stall, whatever it reports.
	private void onUnexplainedStall(Attempt attempt, LoadReport report) {
		if (report.queued() > 0) {
			this.unexplainedReports = 0;
			return;
		}
		this.unexplainedReports++;
		if (this.unexplainedReports >= UNEXPLAINED_REPORT_THRESHOLD) {
			this.owner.startSuccessor(attempt, "first engine reports no reason for its silence");
		}
	}

	private void onPathOrderResult(Attempt attempt, Target next, Replica engine, EngineControl.OrderResult result) {
		if (!this.owner.isCurrent(attempt)) {
			return;
		}
		this.pathChangePending = false;
		RequestEventLog.logPathChanged(this.admitted, next, engine, result);
		if (result == EngineControl.OrderResult.ACCEPTED) {
			recordProgress();
			attempt.switchTarget(next);
			return;
		}
		this.owner.startSuccessor(attempt, "path could not be changed: " + result);
	}

	/**
	 * The request whose stream is monitored.
	 */
	interface Owner {

		/**
		 * Returns whether an attempt is still the current one of the request.
		 * @param attempt the attempt
		 * @return false when the request has ended or uses another attempt
		 */
		boolean isCurrent(Attempt attempt);

		/**
		 * Ends the run of the request on its current path, and starts one on another path
		 * if the request may run now.
		 * @param attempt the attempt on the current path
		 * @param failedEngine the engine that blocks the current path
		 * @param next the target with the other path
		 * @return whether the change may be ordered
		 */
		Single<PathChange> preparePathChange(Attempt attempt, Replica failedEngine, Target next);

		/**
		 * Starts a run elsewhere that succeeds a stalled one as soon as it responds, if
		 * the request may run a second time. The stalled run is kept until then.
		 * @param stalled the attempt that has stalled
		 * @param cause the reason, for logs
		 */
		void startSuccessor(Attempt stalled, String cause);

		/**
		 * Handles the detection of an engine that blocks streams.
		 * @param engine the engine
		 */
		void onEngineFailureDetected(Replica engine);

	}

	/**
	 * Whether a change of path may be ordered.
	 */
	enum PathChange {

		/** The change may be ordered. */
		ALLOWED,

		/** An engine of the new path does not respond, and is avoided from now on. */
		ENGINE_UNRESPONSIVE,

		/** The request may not begin to run on other engines now. */
		NOT_ALLOWED

	}

}
