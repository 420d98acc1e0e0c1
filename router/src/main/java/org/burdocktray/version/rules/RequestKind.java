package org.burdocktray.version.rules;

/**
 * How often a request of a route may be executed. Thread safety: immutable.
 */
public enum RequestKind {

	/** May be executed more than once. */
	IDEMPOTENT,

	/** Is executed at most once. */
	NON_IDEMPOTENT,

	/**
	 * Has a stream of events as response; is executed at most once, unless the route is
	 * resumable.
	 */
	STREAMING

}
