package org.burdocktray.process.claim;

import org.burdocktray.model.Refusal;

/**
 * The decision on a claim request. Thread safety: immutable.
 */
public sealed interface ClaimDecision {

	/**
	 * The claim is stored durably; the call may be dispatched once.
	 *
	 * @param ticket the proof of the claim
	 */
	record Granted(ClaimTicket ticket) implements ClaimDecision {

	}

	/**
	 * The key has already run; the caller receives the recorded response.
	 *
	 * @param response the recorded response
	 */
	record Replay(RecordedResponse response) implements ClaimDecision {

	}

	/**
	 * The call must not be dispatched.
	 *
	 * @param refusal the refusal to return to the caller
	 */
	record Refused(Refusal refusal) implements ClaimDecision {

	}

}
