package org.burdocktray.process.claim;

/**
 * The reasons why claims could not be listed or closed. Thread safety: immutable.
 */
public enum ReconciliationError {

	/** The store is unreachable; nothing was changed. */
	STORE_UNAVAILABLE,

	/**
	 * The store did not respond to the update; list the claims to see whether the claim
	 * was closed.
	 */
	UNRESOLVED,

	/** A shard's object can't be read by this version. */
	UNREADABLE,

	/** The claim does not exist or has an outcome already. */
	NO_SUCH_CLAIM,

	/** All attempts conflicted with other writers; nothing was changed. */
	CONTENDED

}
