package org.burdocktray.version.rules;

/**
 * What a caller may send. Thread safety: immutable.
 *
 * @param maxHeaderBytes the size of a request's header
 * @param maxBodyBytes the size of a request's body
 * @param headerTimeoutMillis how long a caller may take to send a header
 * @param idleTimeoutMillis how long a connection may stay open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

}
