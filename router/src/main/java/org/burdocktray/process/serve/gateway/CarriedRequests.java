package org.burdocktray.process.serve.gateway;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The last requests that one connection has carried. Invariant: memory is bounded by the
 * number of ids kept and their length. Thread safety: none, confined to one event loop.
 */
final class CarriedRequests {

	/**
	 * A second answer that is still owed after so many further requests is not expected.
	 */
	private static final int MAX_REQUESTS = 32;

	private static final int MAX_ID_CHARACTERS = 64;

	private final Set<String> ids = new LinkedHashSet<>();

	/**
	 * Records that the connection is about to carry a request.
	 * @param requestId the id of the request; of long ids the beginning counts
	 * @return whether it is none of the last requests
	 */
	boolean add(String requestId) {
		if (!this.ids.add(shorten(requestId))) {
			return false;
		}
		if (this.ids.size() > MAX_REQUESTS) {
			this.ids.remove(this.ids.iterator().next());
		}
		return true;
	}

	/**
	 * Returns whether an answer on the connection may belong to an earlier request.
	 * @return false for a connection that has carried one request only
	 */
	boolean hasSeveral() {
		return this.ids.size() > 1;
	}

	/**
	 * Returns whether a request is one of the last ones.
	 * @param requestId the id of the request
	 * @return false as well for requests that are long ago
	 */
	boolean contains(String requestId) {
		return this.ids.contains(shorten(requestId));
	}

	private static String shorten(String requestId) {
		return requestId.substring(0, Math.min(MAX_ID_CHARACTERS, requestId.length()));
	}

}
