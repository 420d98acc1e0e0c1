package org.burdocktray.process.bundle;

/**
 * Failure of an operation on a bundle by an operator. Thread safety: immutable.
 *
 * @param kind the kind of failure
 * @param detail a sentence shown to the operator
 */
public record OperationFailure(Kind kind, String detail) {

	/**
	 * The kinds of failure. Thread safety: immutable.
	 */
	public enum Kind {

		/** The operation is not allowed; nothing was written. */
		REFUSED,

		/** The platform did not accept the call; nothing was written. */
		UNAVAILABLE,

		/**
		 * A response was lost and the outcome could not be read back; the write may still
		 * take effect.
		 */
		UNKNOWN,

		/** A different bundle is already rolled with this version. */
		LOST_RACE

	}

}
