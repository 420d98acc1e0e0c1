package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;
import org.burdocktray.process.quarantine.runs.RequestRuns;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.version.rules.RequestKind;

/**
 * Applies the quarantine to one request. A run begins when the request is sent and
 * whenever its path changes. Invariants: a silent run is recorded as lost while its
 * successor is prepared, and as in progress again if it goes on; each run is ended once,
 * at the latest when what ended it is known. Thread safety: none, confined to the
 * request.
 */
final class RunGuard {

	/**
	 * The time after which a rejection shows that an engine of the path was waited for.
	 */
	private static final long STALLED_REJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final CrashDetector detector;

	private final Quarantine quarantine;

	private final RequestIdentity request;

	private final String healthPath;

	private final boolean streaming;

	private final RequestRuns<Attempt> runs;

	/** The replicas of the last run of each attempt: its path may be about to change. */
	private final Map<Attempt, List<Replica>> replicas = new HashMap<>();

	RunGuard(CrashDetector detector, AdmittedRequest admitted) {
		this.detector = detector;
		this.quarantine = detector.quarantine();
		this.request = admitted.identity();
		this.runs = new RequestRuns<>(this.quarantine, this.request);
		this.healthPath = admitted.service().healthPath();
		this.streaming = admitted.route().kind() == RequestKind.STREAMING;
	}

	/**
	 * Decides whether another run may begin now.
	 * @return the decision
	 */
	QuarantineDecision check() {
		return this.quarantine.check(this.request, System.nanoTime());
	}

	/**
	 * Returns whether the next run must wait until it is known what ended the last one.
	 * Only streams wait: one whose engine fell silent is late already, a call has little
	 * time.
	 * @return true for a moment after a lost run
	 */
	boolean isCheckingLostRun() {
		return this.streaming && this.runs.hasUnresolvedLoss();
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
		if (target.isRelay()) {
			return Single.just(List.of());
		}
		return isSuspected() ? this.detector.findUnresponsive(target.replicas(), this.healthPath)
				: Single.just(List.of());
	}

	/**
	 * Returns whether the request may crash replicas.
	 * @return true after a lost run without much output, or by the quarantine
	 */
	boolean isSuspected() {
		return this.runs.isSuspected() || !(check() instanceof QuarantineDecision.Run);
	}

	/**
	 * Records that a run begins. The runs of a relayed request are recorded by the VM
	 * that sends it to replicas.
	 * @param attempt its attempt
	 * @param target where it runs
	 */
	void startRun(Attempt attempt, Target target) {
		this.replicas.put(attempt, target.replicas());
		Set<String> upstreams = target.isRelay() ? Set.of() : UpstreamNames.of(target.replicas());
		this.runs.start(attempt, upstreams, System.nanoTime());
	}

	/**
	 * Records that a run goes on that was recorded as lost because it was silent. Does
	 * nothing if it is not recorded as lost.
	 * @param attempt its attempt
	 */
	void resumeRun(Attempt attempt) {
		if (this.runs.resume(attempt)) {
			startRun(attempt, attempt.target());
		}
	}

	/**
	 * Records output of a run.
	 * @param attempt its attempt
	 * @param nowNanos the monotonic time
	 */
	void recordOutput(Attempt attempt, long nowNanos) {
		this.runs.recordOutput(attempt, nowNanos);
	}

	/**
	 * Records that a run is lost, or silent.
	 * @param attempt its attempt
	 * @param replicas the replicas that may have crashed under it
	 * @return completes when it is known whether they have crashed
	 */
	Completable recordLoss(Attempt attempt, List<Replica> replicas) {
		return this.runs.recordLoss(attempt)
			.map((runId) -> checkLostRun(runId, replicas))
			.orElseGet(Completable::complete);
	}

	private Completable checkLostRun(String runId, List<Replica> replicas) {
		Completable check = this.detector.checkLostRun(runId, this.request, replicas, this.healthPath)
			.doOnComplete(this.runs::recordResolved)
			.cache();
		check.subscribe(this::tellOthersIfGivenUp);
		return check;
	}

	/**
	 * Records that an attempt has failed.
	 * @param failed the attempt
	 * @param outcome its outcome
	 * @param faultyEngine the engine at fault, if another engine reported it
	 */
	void recordFailure(Attempt failed, AttemptOutcome outcome, Optional<Replica> faultyEngine) {
		boolean hasWaitedForEngine = System.nanoTime() - failed.sentNanos() >= STALLED_REJECTION_NANOS;
		if (outcome == AttemptOutcome.LOST) {
			recordLoss(failed, this.replicas.getOrDefault(failed, failed.target().replicas()));
		}
		else if (hasWaitedForEngine) {
			faultyEngine.ifPresent((engine) -> recordLoss(failed, List.of(engine)));
		}
		end(failed);
	}

	/**
	 * Records that a complete response was received.
	 * @param attempt the attempt
	 * @param status its status
	 */
	void recordResponse(Attempt attempt, int status) {
		end(attempt, (status / 100 == 2) ? RunOutcome.SUCCEEDED : RunOutcome.RESPONDED);
	}

	/**
	 * Ends a run, if it is in progress, without evidence for or against the request.
	 * @param attempt its attempt
	 */
	void end(Attempt attempt) {
		end(attempt, RunOutcome.ENDED);
	}

	/**
	 * Records that the request has ended, so that this VM begins no other run. Where a
	 * run was lost before, replicas of those in progress are probed as well.
	 */
	void close() {
		this.runs.close(System.nanoTime()).forEach((attempt, runId) -> checkLostRun(runId, this.replicas.get(attempt)));
		tellOthersIfGivenUp();
	}

	/**
	 * Ends all runs because this VM stops: it would not live to tell a crash from a
	 * silence.
	 */
	void stop() {
		this.runs.endAll(System.nanoTime());
	}

	private void tellOthersIfGivenUp() {
		if (this.runs.isGivenUp()) {
			this.detector.recordGivenUp(this.request);
		}
	}

	private void end(Attempt attempt, RunOutcome outcome) {
		this.runs.end(attempt, outcome, System.nanoTime());
	}

}
