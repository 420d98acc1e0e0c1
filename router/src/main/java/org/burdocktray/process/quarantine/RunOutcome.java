package org.burdocktray.process.quarantine;

/**
 * The outcome of a run of a request. Thread safety: immutable.
 */
public enum RunOutcome {

	/** The complete response was received. */
	SUCCEEDED,

	/**
	 * A complete response was received, but no answer was begun. Clears the request as a
	 * whole, not the parts of its prompt.
	 */
	RESPONDED,

	/** The run ended in another way, which is not evidence for or against the request. */
	ENDED

}
