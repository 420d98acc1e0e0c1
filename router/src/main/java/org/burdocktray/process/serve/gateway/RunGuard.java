package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.version.rules.RequestKind;

/**
 * Applies the quarantine to one request. A run begins when the request is sent and
 * whenever its path changes. Invariants: each attempt has at most one run in progress; a
 * silent run is recorded as lost while its successor is prepared, and as in progress
 * again if it goes on; each run is ended once, at the latest when what ended it is known.
 * Thread safety: none, confined to the request.
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

	private final RequestIdentity request;

	private final String healthPath;

	private final boolean streaming;

	private final Map<Attempt, GuardedRun> runs = new HashMap<>();

	/** Attempts whose runs are recorded as lost, although they may go on. */
	private final Set<Attempt> lostAttempts = new HashSet<>();

	/** Whether the last run to begin, or one beside it, has become harmless. */
	private boolean harmless;

	private boolean hasLostRun;

	private int unresolvedLosses;

	private boolean closed;

	RunGuard(CrashDetector detector, AdmittedRequest admitted) {
		this.detector = detector;
		this.quarantine = detector.quarantine();
		this.request = admitted.identity();
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
		return (this.hasLostRun && !this.harmless) || !(check() instanceof QuarantineDecision.Run);
	}

	/**
	 * Records that a run begins. The runs of a relayed request are recorded by the VM
	 * that sends it to replicas.
	 * @param attempt its attempt
	 * @param target where it runs
	 */
	void startRun(Attempt attempt, Target target) {
		end(attempt, RunOutcome.ENDED);
		this.harmless = false;
		if (target.isRelay()) {
			return;
		}
		Set<String> upstreams = UpstreamNames.of(target.replicas());
		String runId = this.quarantine.recordStart(this.request, upstreams, System.nanoTime());
		this.runs.put(attempt, new GuardedRun(runId));
	}

	/**
	 * Records that a run goes on that was recorded as lost because it was silent. Does
	 * nothing if it is not recorded as lost.
	 * @param attempt its attempt
	 */
	void resumeRun(Attempt attempt) {
		if (this.lostAttempts.remove(attempt)) {
			startRun(attempt, attempt.target());
		}
	}

	/**
	 * Records output of a run.
	 * @param attempt its attempt
	 * @param nowNanos the monotonic time
	 */
	void recordOutput(Attempt attempt, long nowNanos) {
		GuardedRun run = this.runs.get(attempt);
		if (run == null || run.harmless) {
			return;
		}
		if (run.firstOutputNanos.isEmpty()) {
			run.firstOutputNanos = OptionalLong.of(nowNanos);
			return;
		}
		run.harmless = nowNanos - run.firstOutputNanos.getAsLong() >= HARMLESS_NANOS;
		if (run.harmless) {
			this.harmless = true;
			this.quarantine.recordHarmless(run.id, System.nanoTime());
		}
	}

	/**
	 * Records that a run is lost, or silent.
	 * @param attempt its attempt
	 * @param replicas the replicas that may have crashed under it
	 * @return completes when it is known whether they have crashed
	 */
	Completable recordLoss(Attempt attempt, List<Replica> replicas) {
		GuardedRun lost = this.runs.get(attempt);
		if (lost == null || lost.harmless) {
			return Completable.complete();
		}
		this.runs.remove(attempt);
		this.lostAttempts.add(attempt);
		this.hasLostRun = true;
		this.unresolvedLosses++;
		Completable check = this.detector.checkLostRun(lost.id, this.request, replicas, this.healthPath)
			.doOnComplete(() -> this.unresolvedLosses--)
			.cache();
		check.subscribe(this::tellOthersIfClosed);
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
			recordLoss(failed, failed.target().replicas());
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

	/** Ends all runs, and records that this VM begins no other one. */
	void close() {
		List.copyOf(this.runs.keySet()).forEach(this::end);
		this.closed = true;
		tellOthersIfClosed();
	}

	private void tellOthersIfClosed() {
		if (this.closed && this.hasLostRun && this.unresolvedLosses == 0) {
			this.detector.recordGivenUp(this.request);
		}
	}

	private void end(Attempt attempt, RunOutcome outcome) {
		this.lostAttempts.remove(attempt);
		GuardedRun run = this.runs.remove(attempt);
		if (run != null) {
			this.quarantine.recordEnd(run.id, outcome, System.nanoTime());
		}
	}

	private static final class GuardedRun {

		private final String id;

		private OptionalLong firstOutputNanos = OptionalLong.empty();

		private boolean harmless;

		private GuardedRun(String id) {
			this.id = id;
		}

	}

}
