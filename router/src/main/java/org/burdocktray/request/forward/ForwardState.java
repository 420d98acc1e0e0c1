package org.burdocktray.request.forward;

import org.burdocktray.model.Verdict;
import org.burdocktray.version.rules.RouteRule;

/**
 * What has become of one request over its attempts, and whether it may be sent again.
 * Invariants: a request that is not repeatable is not sent again once it may have run;
 * the verdict is never stronger than what is known; no more replicas run a request than
 * its route allows. Thread safety: none, confined to the request.
 */
public final class ForwardState {

	/** Attempts that replicas rejected do not count as run, but must end. */
	private static final int MAX_SENDS = 4;

	private final RouteRule route;

	private Verdict verdict = Verdict.NOT_RUN;

	private int sends;

	private int runs;

	/**
	 * Creates the state of a request that was not sent yet.
	 * @param route its route
	 */
	public ForwardState(RouteRule route) {
		this.route = route;
	}

	/** Notes that the request is about to be sent. */
	public void recordSend() {
		this.sends++;
	}

	/**
	 * Notes how an attempt ended.
	 * @param outcome the outcome
	 */
	public void recordOutcome(AttemptOutcome outcome) {
		this.verdict = this.verdict.combine(outcome.verdict());
		if (outcome.verdict() != Verdict.NOT_RUN) {
			this.runs++;
		}
	}

	/**
	 * Tells whether the request may be sent to another replica.
	 * @return whether a further run does no harm and is allowed
	 */
	public boolean canRetry() {
		if (this.sends >= MAX_SENDS || this.runs >= this.route.maxAttempts()) {
			return false;
		}
		return this.verdict == Verdict.NOT_RUN || this.route.isRepeatable();
	}

	/**
	 * Tells whether the request could be sent again if the present attempt were given up.
	 * @return whether giving it up leaves another attempt
	 */
	public boolean canAbandonAttempt() {
		return this.sends < MAX_SENDS && this.runs + 1 < this.route.maxAttempts() && this.route.isRepeatable();
	}

	/**
	 * Tells whether the next attempt draws on the retry budget.
	 * @return whether the request has arrived at a replica before
	 */
	public boolean isRetry() {
		return this.sends > 0;
	}

	/**
	 * Returns what is known of the request.
	 * @return whether it may have run
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
