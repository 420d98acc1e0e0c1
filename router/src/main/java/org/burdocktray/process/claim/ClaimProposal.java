package org.burdocktray.process.claim;

/**
 * A claim request with the id that the requesting VM assigned. Invariant: only the VM
 * that created the id dispatches the call or releases the claim. Thread safety:
 * immutable.
 *
 * @param claimId the unique id of the claim
 * @param vm the VM that created the claim
 * @param request the request of the caller
 */
public record ClaimProposal(String claimId, String vm, ClaimRequest request) {

	private static final int DIGEST_CHARACTERS = 16;

	/**
	 * Returns the fingerprint of the request that is stored in the entry.
	 * @return the truncated digest
	 */
	String digest() {
		String digest = this.request.requestDigest();
		return digest.substring(0, Math.min(DIGEST_CHARACTERS, digest.length()));
	}

	/**
	 * Returns the key of the entry.
	 * @return organisation and idempotency key
	 */
	ClaimKey key() {
		return new ClaimKey(this.request.organisation(), this.request.idempotencyKey());
	}

	/**
	 * Returns the ticket that the caller receives when the claim is granted.
	 * @return the proof of the claim
	 */
	ClaimTicket ticket() {
		return new ClaimTicket(this.request.organisation(), this.request.idempotencyKey(), this.claimId);
	}

}
