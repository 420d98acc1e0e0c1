package org.burdocktray.standins.gateway;

/**
 * When a request ends a replica that begins to run it. Thread safety: immutable.
 */
public enum EndMoment {

	/** Before the first byte of the response. */
	BEFORE_HEAD,

	/** After the head of the response. */
	AFTER_HEAD,

	/** Within the first event of the response. */
	INSIDE_EVENT

}
