package org.burdocktray.process.claim;

import java.util.Optional;

/**
 * The reply of another VM to one forwarded claim. Thread safety: immutable.
 *
 * @param claimId the claim id
 * @param decision the decision; empty if the VM has none, in which case the claim may or
 * may not be stored
 */
public record ClaimReply(String claimId, Optional<ClaimDecision> decision) {

}
