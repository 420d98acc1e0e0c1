package org.burdocktray.connection.caller;

/**
 * What one client may send, and how long it may take. Thread safety: immutable.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers, with what comes
 * before them; also of the size lines and trailers of a chunked body
 * @param headerTimeoutMillis the time limit for receiving a request's header
 * @param idleTimeoutMillis the time after which a connection on which nothing happens is
 * closed
 * @param writeTimeoutMillis the time after which a connection is closed whose client
 * reads nothing of its answer
 */
public record ClientLimits(int maxHeaderBytes, long headerTimeoutMillis, long idleTimeoutMillis,
		long writeTimeoutMillis) {

}
