package org.burdocktray.standins.gateway;

/**
 * The names of headers that callers send and read. Thread safety: constants only.
 */
public final class WireHeaders {

	/** The id of a request, echoed in its response. */
	public static final String REQUEST_ID = "X-Burdocktray-Request-Id";

	/** The caller's time limit in milliseconds. */
	public static final String DEADLINE_MILLIS = "X-Burdocktray-Deadline-Ms";

	/** The number of prompt tokens and the max number of output tokens. */
	public static final String TOKEN_COUNT = "X-Burdocktray-Token-Count";

	/** The parts of the prompt in order, as a list of ids with their lengths. */
	public static final String PROMPT_PARTS = "X-Burdocktray-Prompt-Prefix";

	/** The requests a second that a replica takes from all callers together. */
	public static final String REQUEST_LIMIT = "Server-Limit";

	/** Says that the replica is about to shut down. */
	public static final String LEAVING = "Server-Leaving";

	/** The seconds for which a rejecting replica wants no other request. */
	public static final String RETRY_AFTER = "Retry-After";

	/** The signature of the upstream that produced a complete response. */
	public static final String SIGNATURE = "X-Burdocktray-Response-Signature";

	private WireHeaders() {
	}

}
