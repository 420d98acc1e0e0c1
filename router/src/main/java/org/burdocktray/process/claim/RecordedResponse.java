package org.burdocktray.process.claim;

/**
 * The stored response of a claimed call, replayed to later requests with the same key.
 * Thread safety: immutable.
 *
 * @param httpStatus the HTTP status code
 * @param contentType the content type
 * @param body the body; empty if it was too large or dropped to free space
 * @param bodyKept whether the body is complete
 */
public record RecordedResponse(int httpStatus, String contentType, String body, boolean bodyKept) {

}
