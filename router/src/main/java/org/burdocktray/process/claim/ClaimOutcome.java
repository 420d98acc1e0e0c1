package org.burdocktray.process.claim;

/**
 * The outcome of a claimed call. Thread safety: immutable.
 */
public sealed interface ClaimOutcome {

	/**
	 * The call provably did not run and its key may run again.
	 */
	record NotRun() implements ClaimOutcome {

	}

	/**
	 * The call was dispatched and may have run.
	 */
	record OutcomeUnknown() implements ClaimOutcome {

	}

	/**
	 * The call ran.
	 *
	 * @param response the response of the call
	 */
	record Completed(RecordedResponse response) implements ClaimOutcome {

	}

}
