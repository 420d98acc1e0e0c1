package org.burdocktray.process.claim;

import io.reactivex.rxjava3.core.Single;

/**
 * Grants claims on idempotency keys and records the outcomes of the claimed calls.
 * Invariant: for one organisation and key the whole fleet grants at most one claim,
 * unless the earlier claim is recorded as not run. Thread safety: implementations can be
 * called from any thread.
 */
public interface ClaimRegistry {

	/**
	 * Requests a claim.
	 * @param request the request
	 * @return the decision; never signals an error
	 */
	Single<ClaimDecision> claim(ClaimRequest request);

	/**
	 * Records that the claimed call provably did not run, so that its key may run again.
	 * @param ticket the proof of the claim
	 * @return whether the record is durable
	 */
	Single<Boolean> recordNotRun(ClaimTicket ticket);

	/**
	 * Records the response of the claimed call.
	 * @param ticket the proof of the claim
	 * @param response the response
	 * @return whether the record is durable
	 */
	Single<Boolean> recordResponse(ClaimTicket ticket, RecordedResponse response);

	/**
	 * Records that the claimed call was dispatched and its outcome is unknown. The key
	 * does not run again unless an operator closes the claim as not run.
	 * @param ticket the proof of the claim
	 * @return whether the record is durable
	 */
	Single<Boolean> recordUnknown(ClaimTicket ticket);

}
