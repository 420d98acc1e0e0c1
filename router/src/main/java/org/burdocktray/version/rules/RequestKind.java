package org.burdocktray.version.rules;

/**
 * How often a request of a route may run. Thread safety: immutable.
 */
public enum RequestKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once. */
	NON_IDEMPOTENT,

	/**
	 * Answered by a stream of events; runs at most once, unless the route is resumable.
	 */
	STREAMING

}
