package org.burdocktray.process.claim;

/**
 * The stored state of one idempotency key. A key without an entry is free: it never ran,
 * or its claim was recorded as not run. Thread safety: immutable.
 */
public sealed interface ClaimEntry {

	/**
	 * Returns the id of the claim that created the entry.
	 * @return the claim id
	 */
	String claimId();

	/**
	 * Returns the fingerprint of the request.
	 * @return the truncated digest; empty if it is unknown, in which case it matches any
	 * request
	 */
	String digest();

	/**
	 * Returns when the claim was created.
	 * @return seconds since the epoch
	 */
	long claimedAtSeconds();

	/**
	 * Returns whether a request with this fingerprint is the same request.
	 * @param requestDigest the truncated digest of the other request
	 * @return whether the digests match or the digest of this entry is unknown
	 */
	default boolean isSameRequest(String requestDigest) {
		return digest().isEmpty() || digest().equals(requestDigest);
	}

	/**
	 * A claim without a recorded outcome; the call may be running.
	 *
	 * @param claimId the claim id
	 * @param digest the truncated digest of the request
	 * @param claimedAtSeconds seconds since the epoch
	 * @param vm the VM that created the claim
	 * @param organisation the organisation
	 * @param idempotencyKey the caller's key
	 */
	record Claimed(String claimId, String digest, long claimedAtSeconds, String vm, String organisation,
			String idempotencyKey) implements ClaimEntry {

		/**
		 * Returns the entry that replaces this one when the outcome is unknown.
		 * @return the entry in the state unknown
		 */
		Unknown toUnknown() {
			return new Unknown(this.claimId, this.digest, this.claimedAtSeconds, this.vm, this.organisation,
					this.idempotencyKey);
		}

	}

	/**
	 * A claim whose call may have run. Its key does not run again until an operator
	 * resolves the claim.
	 *
	 * @param claimId the claim id
	 * @param digest the truncated digest of the request
	 * @param claimedAtSeconds seconds since the epoch
	 * @param vm the VM that created the claim
	 * @param organisation the organisation
	 * @param idempotencyKey the caller's key
	 */
	record Unknown(String claimId, String digest, long claimedAtSeconds, String vm, String organisation,
			String idempotencyKey) implements ClaimEntry {

	}

	/**
	 * A released claim. The entry is stored under the claim id instead of the key, so
	 * that a VM that processes a forwarded request for the claim late does not commit it
	 * again.
	 *
	 * @param claimId the claim id
	 * @param claimedAtSeconds when the claim was released, in seconds since the epoch
	 */
	record Released(String claimId, long claimedAtSeconds) implements ClaimEntry {

		@Override
		public String digest() {
			return "";
		}

	}

	/**
	 * A call that ran, with its response.
	 *
	 * @param claimId the claim id
	 * @param digest the truncated digest of the request
	 * @param claimedAtSeconds seconds since the epoch
	 * @param response the recorded response
	 */
	record Done(String claimId, String digest, long claimedAtSeconds, RecordedResponse response) implements ClaimEntry {

		/**
		 * Returns a copy of the entry without the content type and body of its response.
		 * @return the smaller entry
		 */
		Done withoutBody() {
			return new Done(this.claimId, this.digest, this.claimedAtSeconds,
					new RecordedResponse(this.response.httpStatus(), "", "", false));
		}

		/**
		 * Returns whether the response of the entry has a body that can be dropped.
		 * @return whether the body is not empty
		 */
		boolean hasBody() {
			return !this.response.body().isEmpty();
		}

	}

}
