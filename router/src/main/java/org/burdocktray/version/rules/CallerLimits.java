package org.burdocktray.version.rules;

/**
 * Limits on the requests and connections of a caller. Thread safety: immutable.
 *
 * @param maxHeaderBytes the maximum size of a request's header
 * @param maxBodyBytes the maximum size of a request's body
 * @param headerTimeoutMillis the time limit for receiving a request's header
 * @param idleTimeoutMillis the time after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

}
