package org.burdocktray.version.bundle;

/**
 * Limits on requests. Thread safety: immutable.
 *
 * @param maxBodyBytes the maximum size of a request body
 * @param maxHeaderBytes the maximum size of the request line and headers
 * @param requestReadTimeoutMillis the maximum time in which a caller must send its
 * request
 * @param firstTokenTimeoutMillis the default time limit for the first token
 * @param betweenTokensTimeoutMillis the time without a token after which an engine is
 * considered failed
 * @param requestTimeoutMillis the default time limit for the complete response
 * @param callerIdleTimeoutMillis the maximum time for which a caller may leave its
 * response unread
 * @param maxBufferedBytesPerCaller the maximum size of response data buffered for a slow
 * caller
 * @param retryBudgetRatio the number of retries allowed per first attempt, 0 to 1
 * @param drainTimeoutMillis the maximum time for which a shutdown waits for requests in
 * progress
 */
public record Limits(long maxBodyBytes, int maxHeaderBytes, long requestReadTimeoutMillis, long firstTokenTimeoutMillis,
		long betweenTokensTimeoutMillis, long requestTimeoutMillis, long callerIdleTimeoutMillis,
		long maxBufferedBytesPerCaller, double retryBudgetRatio, long drainTimeoutMillis) {

}
