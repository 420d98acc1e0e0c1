package org.burdocktray.connection.service;

import java.util.Optional;

/**
 * A call to a plain service. Thread safety: immutable by convention; the body array is
 * never written after construction.
 *
 * @param method the HTTP method
 * @param pathAndQuery the path within the service, with the query
 * @param body the body
 * @param contentType the content type, empty if the caller sent none
 * @param idempotencyKey the idempotency key, empty if the caller sent none
 * @param requestId the id of the request
 * @param timeoutMillis the timeout of inactivity while waiting for the response
 */
public record ServiceCall(String method, String pathAndQuery, byte[] body, Optional<String> contentType,
		Optional<String> idempotencyKey, String requestId, long timeoutMillis) {

}
