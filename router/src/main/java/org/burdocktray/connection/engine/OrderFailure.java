package org.burdocktray.connection.engine;

/**
 * The reason why the acceptance of an order is not confirmed. Thread safety: immutable.
 */
public enum OrderFailure {

	/** The engine has received a higher fencing number; the order had no effect. */
	FENCED,

	/** The order was not sent or the engine rejected it; the order had no effect. */
	NOT_TAKEN,

	/**
	 * The order was sent without a conclusive response; it may take effect now or later.
	 */
	UNRESOLVED

}
