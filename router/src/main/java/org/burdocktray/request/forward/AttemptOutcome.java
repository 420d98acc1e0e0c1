package org.burdocktray.request.forward;

import org.burdocktray.model.Verdict;

/**
 * How sending a request to one replica ended without an answer that can be delivered.
 * Thread safety: immutable.
 */
public enum AttemptOutcome {

	/** No connection could be had; no byte was sent. */
	NOT_SENT(Verdict.NOT_RUN),

	/** The replica said that it did not run the request. */
	REJECTED(Verdict.NOT_RUN),

	/** The request was sent, and its answer is missing, broken or another's. */
	LOST(Verdict.MAY_HAVE_RUN),

	/** The replica ran the request and answered with a failure of its own. */
	FAILED(Verdict.RAN);

	private final Verdict verdict;

	AttemptOutcome(Verdict verdict) {
		this.verdict = verdict;
	}

	/**
	 * Returns what can be said of the attempt.
	 * @return whether the request may have run
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
