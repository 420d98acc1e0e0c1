package org.burdocktray.process.claim;

/**
 * A claim with an unknown outcome that an operator has to close. Thread safety:
 * immutable.
 *
 * @param ticket the claim
 * @param vm the VM that created the claim
 * @param claimedAtSeconds when it was created, in seconds since the epoch
 */
public record UnresolvedClaim(ClaimTicket ticket, String vm, long claimedAtSeconds) {

}
