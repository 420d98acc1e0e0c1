package org.burdocktray.process.claim;

/**
 * A request for the right to run a non-idempotent call once. Thread safety: immutable.
 *
 * @param organisation the name of the organisation
 * @param idempotencyKey the caller's key
 * @param requestDigest SHA-256 of method, path and body, lower-case hex
 * @param deadlineMillis how long the caller waits for the decision, in milliseconds
 */
public record ClaimRequest(String organisation, String idempotencyKey, String requestDigest, long deadlineMillis) {

}
