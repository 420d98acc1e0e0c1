package org.burdocktray.process.quarantine.runs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;

/**
 * The runs of one request on this VM, for the quarantine. Decides which of them are lost:
 * one whose replica fell silent or whose connection broke, and, where a run of the
 * request was lost before, each one in progress at its end without a response. A request
 * that crashes replicas silently has often two runs in progress at its deadline, and has
 * crashed a replica with each. Invariants: each attempt has at most one run in progress;
 * a run that is harmless is never lost; each lost run is resolved once. Thread safety:
 * none, confined to the request.
 *
 * @param <A> what a run belongs to, an attempt to send the request
 */
public final class RequestRuns<A> {

	/**
	 * The time between events of a response after which the request is harmless to the
	 * replicas that run it: requests crash replicas when they begin to run.
	 */
	private static final long HARMLESS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final Quarantine quarantine;

	private final RequestIdentity request;

	private final Map<A, Run> runs = new HashMap<>();

	/** Attempts whose runs are recorded as lost, although they may go on. */
	private final Set<A> lostAttempts = new HashSet<>();

	/** Whether the last run to begin, or one beside it, has become harmless. */
	private boolean harmless;

	private boolean hasLostRun;

	private int unresolvedLosses;

	private boolean closed;

	/**
	 * Creates the state of a request without a run.
	 * @param quarantine the quarantine of this VM
	 * @param request the request
	 */
	public RequestRuns(Quarantine quarantine, RequestIdentity request) {
		this.quarantine = quarantine;
		this.request = request;
	}

	/**
	 * Records that a run begins, in place of the one that its attempt had before.
	 * @param attempt its attempt
	 * @param upstreams the upstreams that run it, none if another VM records the run
	 * @param nowNanos the time
	 */
	public void start(A attempt, Set<String> upstreams, long nowNanos) {
		end(attempt, RunOutcome.ENDED, nowNanos);
		this.harmless = false;
		if (!upstreams.isEmpty()) {
			this.runs.put(attempt, new Run(this.quarantine.recordStart(this.request, upstreams, nowNanos)));
		}
	}

	/**
	 * Records that the run of an attempt goes on if it was recorded as lost. A new run
	 * must be started then.
	 * @param attempt the attempt
	 * @return whether it was recorded as lost
	 */
	public boolean resume(A attempt) {
		return this.lostAttempts.remove(attempt);
	}

	/**
	 * Records output of a run.
	 * @param attempt its attempt
	 * @param nowNanos the time
	 */
	public void recordOutput(A attempt, long nowNanos) {
		Run run = this.runs.get(attempt);
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
			this.quarantine.recordHarmless(run.id, nowNanos);
		}
	}

	/**
	 * Records that a run is lost, or silent.
	 * @param attempt its attempt
	 * @return the id of the run, of which it must be found out what ended it; empty if
	 * there is none, or a harmless one. {@link #recordResolved} must follow.
	 */
	public Optional<String> recordLoss(A attempt) {
		Run lost = this.runs.get(attempt);
		if (lost == null || lost.harmless) {
			return Optional.empty();
		}
		this.runs.remove(attempt);
		this.lostAttempts.add(attempt);
		this.hasLostRun = true;
		this.unresolvedLosses++;
		this.quarantine.recordLoss(lost.id);
		return Optional.of(lost.id);
	}

	/** Records that it is known of a lost run what ended it. */
	public void recordResolved() {
		this.unresolvedLosses--;
	}

	/**
	 * Ends the run of an attempt, if it is in progress.
	 * @param attempt the attempt
	 * @param outcome how it ended
	 * @param nowNanos the time
	 */
	public void end(A attempt, RunOutcome outcome, long nowNanos) {
		this.lostAttempts.remove(attempt);
		Run run = this.runs.remove(attempt);
		if (run != null) {
			this.quarantine.recordEnd(run.id, outcome, nowNanos);
		}
	}

	/**
	 * Records that this VM begins no other run. Those that still are in progress have got
	 * no response: if the request is suspected, all but the harmless ones are lost. A
	 * caller that leaves early is no evidence against a request.
	 * @param nowNanos the time
	 * @return the lost runs by their attempts, to be treated as those of
	 * {@link #recordLoss}
	 */
	public Map<A, String> close(long nowNanos) {
		this.closed = true;
		Map<A, String> lost = new LinkedHashMap<>();
		if (isSuspected()) {
			List.copyOf(this.runs.keySet())
				.forEach((attempt) -> recordLoss(attempt).ifPresent((runId) -> lost.put(attempt, runId)));
		}
		endAll(nowNanos);
		return lost;
	}

	/**
	 * Ends all runs in progress, without evidence for or against the request.
	 * @param nowNanos the time
	 */
	public void endAll(long nowNanos) {
		List.copyOf(this.runs.keySet()).forEach((attempt) -> end(attempt, RunOutcome.ENDED, nowNanos));
	}

	/**
	 * Returns whether the request may have crashed a replica by what this VM has seen.
	 * @return true after a lost run without much output
	 */
	public boolean isSuspected() {
		return this.hasLostRun && !this.harmless;
	}

	/**
	 * Returns whether it is being found out what ended a run.
	 * @return true for a moment after a lost run
	 */
	public boolean hasUnresolvedLoss() {
		return this.unresolvedLosses > 0;
	}

	/**
	 * Returns whether this VM has lost runs of the request and begins no other one. The
	 * caller may come again at once at another VM, so what is known of one lost run must
	 * not wait until the others are resolved.
	 * @return true if other VMs should know all evidence now
	 */
	public boolean isGivenUp() {
		return this.closed && this.hasLostRun;
	}

	private static final class Run {

		private final String id;

		private OptionalLong firstOutputNanos = OptionalLong.empty();

		private boolean harmless;

		private Run(String id) {
			this.id = id;
		}

	}

}
