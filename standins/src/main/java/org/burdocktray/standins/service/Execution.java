package org.burdocktray.standins.service;

/**
 * A call that the service executed. Thread safety: immutable.
 *
 * @param execution the number of the execution, starting at 1
 * @param method the HTTP method
 * @param path the path with the query
 * @param idempotencyKey the idempotency key, empty for none
 * @param requestId the request id, empty for none
 * @param bodyDigest the SHA-256 digest of the body in hexadecimal
 */
public record Execution(long execution, String method, String path, String idempotencyKey, String requestId,
		String bodyDigest) {
}
