package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.quarantine.Fingerprint;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.RunOutcome;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.version.rules.RequestKind;

/**
 * Applies the quarantine to one request. A run begins when the request is sent and
 * whenever its path changes. Invariant: at most one run of the request is in progress;
 * each run is ended once, at the latest when what ended it is known. Thread safety: none,
 * confined to the request.
 */
final class RunGuard {

	/**
	 * The time between events of a response after which the request is harmless to the
	 * replicas that run it: requests crash replicas when they begin to run.
	 */
	private static final long HARMLESS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * The time after which a rejection shows that an engine of the path was waited for.
	 */
	private static final long STALLED_REJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final CrashDetector detector;

	private final Quarantine quarantine;

	private final Fingerprint fingerprint;

	private final String healthPath;

	private final boolean streaming;

	private Optional<String> runId = Optional.empty();

	private OptionalLong firstOutputNanos = OptionalLong.empty();

	private boolean harmless;

	private boolean hasLostRun;

	private int unresolvedLosses;

	private boolean closed;

	RunGuard(CrashDetector detector, AdmittedRequest admitted) {
		this.detector = detector;
		this.quarantine = detector.quarantine();
		this.fingerprint = admitted.fingerprint();
		this.healthPath = admitted.service().healthPath();
		this.streaming = admitted.route().kind() == RequestKind.STREAMING;
	}

	/**
	 * Decides whether another run may begin now.
	 * @return the decision
	 */
	QuarantineDecision check() {
		return this.quarantine.check(this.fingerprint, System.nanoTime());
	}

	/**
	 * Returns whether the next run must wait until it is known what ended the last one.
	 * Only streams wait: one whose engine fell silent is late already, a call has little
	 * time.
	 * @return true for a moment after a lost run
	 */
	boolean isCheckingLostRun() {
		return this.streaming && this.unresolvedLosses > 0;
	}

	/**
	 * Finds the replicas of a target that do not respond, if the request may crash
	 * replicas. A further crash then is one of a replica that responded when the run
	 * began: where several replicas crash at once, sound requests would be quarantined
	 * otherwise.
	 * @param target the target
	 * @return the replicas, none if the request is not suspected
	 */
	Single<List<Replica>> findUnresponsive(Target target) {
		boolean isSuspected = (this.hasLostRun && !this.harmless) || !(check() instanceof QuarantineDecision.Run);
		return isSuspected ? this.detector.findUnresponsive(target.replicas(), this.healthPath)
				: Single.just(List.of());
	}

	/**
	 * Records that a run goes on that was recorded as lost because it was silent. Does
	 * nothing if a run is in progress or harmless.
	 * @param target where it runs
	 */
	void resumeRun(Target target) {
		if (this.runId.isEmpty() && !this.harmless) {
			startRun(target);
		}
	}

	/**
	 * Records that a run begins.
	 * @param target where it runs
	 */
	void startRun(Target target) {
		end();
		this.firstOutputNanos = OptionalLong.empty();
		this.harmless = false;
		Set<String> upstreams = UpstreamNames.of(target.replicas());
		this.runId = Optional.of(this.quarantine.recordStart(this.fingerprint, upstreams, System.nanoTime()));
	}

	/**
	 * Records output of the current run.
	 * @param nowNanos the monotonic time
	 */
	void recordOutput(long nowNanos) {
		if (this.harmless || this.runId.isEmpty()) {
			return;
		}
		if (this.firstOutputNanos.isEmpty()) {
			this.firstOutputNanos = OptionalLong.of(nowNanos);
			return;
		}
		this.harmless = nowNanos - this.firstOutputNanos.getAsLong() >= HARMLESS_NANOS;
		if (this.harmless) {
			this.quarantine.recordHarmless(this.runId.get(), System.nanoTime());
		}
	}

	/**
	 * Records that the current run is lost.
	 * @param replicas the replicas that may have crashed under it
	 * @return completes when it is known whether they have crashed
	 */
	Completable recordLoss(List<Replica> replicas) {
		if (this.harmless || this.runId.isEmpty()) {
			end();
			return Completable.complete();
		}
		String lostRunId = this.runId.get();
		this.runId = Optional.empty();
		this.hasLostRun = true;
		this.unresolvedLosses++;
		Completable check = this.detector.checkLostRun(lostRunId, this.fingerprint, replicas, this.healthPath)
			.doOnComplete(() -> this.unresolvedLosses--)
			.cache();
		check.subscribe(this::tellOthersIfClosed);
		return check;
	}

	/**
	 * Records that the attempt of the current run has failed.
	 * @param failed the attempt
	 * @param outcome its outcome
	 * @param faultyEngine the engine at fault, if another engine reported it
	 */
	void recordFailure(Attempt failed, AttemptOutcome outcome, Optional<Replica> faultyEngine) {
		if (outcome == AttemptOutcome.LOST) {
			recordLoss(failed.target().replicas());
			return;
		}
		boolean hasWaitedForEngine = System.nanoTime() - failed.sentNanos() >= STALLED_REJECTION_NANOS;
		faultyEngine.filter((engine) -> hasWaitedForEngine).ifPresent((engine) -> recordLoss(List.of(engine)));
		end();
	}

	/** Records that the current run has succeeded. */
	void recordSuccess() {
		end(RunOutcome.SUCCEEDED);
	}

	/**
	 * Ends the current run, if there is one, without evidence for or against the request.
	 */
	void end() {
		end(RunOutcome.ENDED);
	}

	/** Ends the current run, and records that this VM begins no other one. */
	void close() {
		end();
		this.closed = true;
		tellOthersIfClosed();
	}

	private void tellOthersIfClosed() {
		if (this.closed && this.hasLostRun && this.unresolvedLosses == 0) {
			this.detector.recordGivenUp(this.fingerprint);
		}
	}

	private void end(RunOutcome outcome) {
		this.runId.ifPresent((id) -> this.quarantine.recordEnd(id, outcome, System.nanoTime()));
		this.runId = Optional.empty();
	}

}
