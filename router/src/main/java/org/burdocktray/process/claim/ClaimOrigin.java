package org.burdocktray.process.claim;

/**
 * How a claim reached this VM. Only the VM that created the claim id may release the
 * claim. Thread safety: immutable.
 */
enum ClaimOrigin {

	/** Created by this VM and not sent to another VM. */
	LOCAL,

	/** Created by this VM and sent to another VM without a reply; it may be stored. */
	FORWARD_UNRESOLVED,

	/** Created by another VM. */
	FROM_PEER

}
