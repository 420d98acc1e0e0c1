package org.burdocktray.standins.gateway;

/**
 * The names of headers that callers send and read. Thread safety: constants only.
 */
public final class WireHeaders {

	/** The id of a request, echoed in its answer. */
	public static final String REQUEST_ID = "X-Burdocktray-Request-Id";

	/** How long the caller waits, in milliseconds. */
	public static final String DEADLINE_MILLIS = "X-Burdocktray-Deadline-Ms";

	/** The tokens of the prompt and the most tokens of the answer. */
	public static final String TOKEN_COUNT = "X-Burdocktray-Token-Count";

	/** Who made a whole answer. */
	public static final String SIGNATURE = "X-Burdocktray-Response-Signature";

	private WireHeaders() {
	}

}
