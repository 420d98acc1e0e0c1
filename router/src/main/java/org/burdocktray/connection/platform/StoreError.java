package org.burdocktray.connection.platform;

/**
 * The reason for the failure of a call to the platform's store. Thread safety: immutable.
 */
public enum StoreError {

	/** The version did not match; the write was not applied. */
	CONFLICT,

	/** The object does not exist; the write was not applied. */
	NOT_FOUND,

	/** The value exceeds the size limit of the store; the write was not applied. */
	TOO_LARGE,

	/** The call was rejected or not sent; the write was not applied. */
	UNAVAILABLE,

	/**
	 * The store has returned from a copy since the expected version was read, so that the
	 * version may belong to another value; the write may have been applied.
	 */
	ERA_CHANGED,

	/**
	 * The call was sent, but no valid response was received; the write may have been
	 * applied.
	 */
	UNRESOLVED

}
