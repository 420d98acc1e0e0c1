package org.burdocktray.connection.service;

/**
 * The complete response of a plain service. Thread safety: immutable by convention; the
 * body array is never written after construction.
 *
 * @param httpStatus the HTTP status
 * @param contentType the content type
 * @param body the body
 */
public record ServiceResponse(int httpStatus, String contentType, byte[] body) {

}
