package org.burdocktray.connection.peer;

/**
 * Limits of the connections between VMs. Thread safety: immutable.
 *
 * @param maxFrameBytes the maximum size of a message
 * @param connectTimeoutMillis the timeout of a connection attempt
 * @param idleTimeoutMillis the time without messages after which a connection is closed
 * @param minBackoffMillis the backoff after the first failed connection attempt
 * @param maxBackoffMillis the maximum backoff between connection attempts
 * @param maxPendingRequests the maximum number of requests without a reply on a
 * connection
 */
public record PeerTransportLimits(int maxFrameBytes, int connectTimeoutMillis, long idleTimeoutMillis,
		long minBackoffMillis, long maxBackoffMillis, int maxPendingRequests) {

	private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

	/**
	 * Returns the limits used in production. The frame limit exceeds the largest value of
	 * the store, so a frame can contain any signed bundle.
	 * @return the limits
	 */
	public static PeerTransportLimits defaults() {
		return new PeerTransportLimits(MAX_FRAME_BYTES, 500, 60_000, 100, 2_000, 1_024);
	}

}
