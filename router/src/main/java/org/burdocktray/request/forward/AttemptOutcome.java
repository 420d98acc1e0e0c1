package org.burdocktray.request.forward;

import org.burdocktray.model.Verdict;

/**
 * How an attempt at one replica ended without a response that can be delivered. Thread
 * safety: immutable.
 */
public enum AttemptOutcome {

	/** No connection could be established; no byte was sent. */
	NOT_SENT(Verdict.NOT_RUN),

	/** Another VM gave the request back that has sent it to no replica. */
	DECLINED(Verdict.NOT_RUN),

	/** The replica reported that it did not run the request. */
	REJECTED(Verdict.NOT_RUN),

	/**
	 * The request was sent, and its response is missing, malformed or belongs to another
	 * request.
	 */
	LOST(Verdict.MAY_HAVE_RUN),

	/** The replica ran the request and returned an error. */
	FAILED(Verdict.RAN);

	private final Verdict verdict;

	AttemptOutcome(Verdict verdict) {
		this.verdict = verdict;
	}

	/**
	 * Returns the verdict on the attempt.
	 * @return whether the request may have run at the replica
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
