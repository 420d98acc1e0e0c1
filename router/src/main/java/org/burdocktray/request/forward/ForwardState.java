package org.burdocktray.request.forward;

import org.burdocktray.model.Verdict;
import org.burdocktray.version.rules.RouteRule;

/**
 * Tracks the attempts of one request and decides whether it may be sent again.
 * Invariants: a request that is not repeatable is not sent again once it may have run;
 * the verdict states no more than the outcomes of the attempts show; no more replicas run
 * a request than its route allows, not counting those that ended or were cut off
 * meanwhile. Thread safety: none, confined to the request.
 */
public final class ForwardState {

	/**
	 * Also bounds attempts that were rejected or declined, which do not count as runs.
	 */
	private static final int MAX_SENDS = 4;

	/** Bounds the runs on replicas that have ended, in case the request ends them. */
	private static final int MAX_UNCOUNTED_RUNS = 2;

	private final RouteRule route;

	private Verdict verdict = Verdict.NOT_RUN;

	private int sends;

	private int runs;

	private int uncountedRuns;

	private boolean mayHaveArrived;

	private boolean responseStarted;

	/**
	 * Creates the state of a request that was not sent yet.
	 * @param route the route of the request
	 */
	public ForwardState(RouteRule route) {
		this(route, 0);
	}

	/**
	 * Creates the state of a request that another VM has sent before.
	 * @param route the route of the request
	 * @param earlierRuns how often it may have run already
	 */
	public ForwardState(RouteRule route, int earlierRuns) {
		this.route = route;
		this.runs = earlierRuns;
	}

	/** Records that an attempt is about to be sent. */
	public void recordSend() {
		this.sends++;
	}

	/**
	 * Records that the caller has received a part of the response. From then on only runs
	 * and the caller's timeout limit the attempts: a rejection is no reason to break the
	 * response off.
	 */
	public void recordResponseStart() {
		this.responseStarted = true;
	}

	/**
	 * Records the outcome of an attempt.
	 * @param outcome the outcome
	 */
	public void recordOutcome(AttemptOutcome outcome) {
		if (outcome == AttemptOutcome.NOT_SENT) {
			this.sends--;
			return;
		}
		this.verdict = this.verdict.combine(outcome.verdict());
		this.mayHaveArrived |= outcome != AttemptOutcome.DECLINED;
		if (outcome.verdict() != Verdict.NOT_RUN) {
			this.runs++;
		}
	}

	/**
	 * Returns whether the last run need not count if its replica has ended or is cut off.
	 * @return true for a repeatable request that has reached the limit of its route
	 */
	public boolean canDiscountRun() {
		return this.route.isRepeatable() && this.runs >= this.route.maxAttempts()
				&& this.uncountedRuns < MAX_UNCOUNTED_RUNS;
	}

	/**
	 * Records that the replica of a lost run has ended or is cut off, so that the run
	 * does not count towards the limit of the route.
	 */
	public void discountRun() {
		this.runs--;
		this.uncountedRuns++;
	}

	/**
	 * Returns whether the request may be sent to another replica.
	 * @return true if another run is safe and within the limits
	 */
	public boolean canRetry() {
		if (!maySendAgain() || this.runs >= this.route.maxAttempts()) {
			return false;
		}
		return this.verdict == Verdict.NOT_RUN || this.route.isRepeatable();
	}

	/**
	 * Returns whether a second run may be started while one is in progress, which counts
	 * as a run even if it never responds.
	 * @return true if another run is safe and within the limits
	 */
	public boolean canStartSecondRun() {
		return maySendAgain() && this.runs + 1 < this.route.maxAttempts() && this.route.isRepeatable();
	}

	private boolean maySendAgain() {
		return this.responseStarted || this.sends < MAX_SENDS;
	}

	/**
	 * Returns how often the request may have run.
	 * @return the number of runs on all attempts
	 */
	public int runs() {
		return this.runs;
	}

	/**
	 * Returns whether the next attempt is a retry, which is charged to the retry budget.
	 * @return true if the request may have arrived at a replica before
	 */
	public boolean isRetry() {
		return this.mayHaveArrived;
	}

	/**
	 * Returns the verdict on the request over all its attempts.
	 * @return whether it may have run
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
