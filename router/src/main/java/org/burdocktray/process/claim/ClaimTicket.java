package org.burdocktray.process.claim;

/**
 * Proof that a claim is stored durably. Thread safety: immutable.
 *
 * @param organisation the name of the organisation
 * @param idempotencyKey the caller's key
 * @param claimId the unique id of this claim
 */
public record ClaimTicket(String organisation, String idempotencyKey, String claimId) {

}
