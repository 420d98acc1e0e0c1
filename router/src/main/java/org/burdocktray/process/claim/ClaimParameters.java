package org.burdocktray.process.claim;

/**
 * The parameters of claims. All VMs use the same shard count, since it determines the
 * shard that stores a key. Thread safety: immutable.
 *
 * @param shardCount the number of shard objects
 * @param minWriteIntervalMillis the minimum interval between two writes of one VM to a
 * shard
 * @param outcomeLingerMillis how long an outcome is delayed so that it can share a write
 * with a claim
 * @param retryDelayMillis the delay after the first failed call to the store; it doubles
 * with further failures
 * @param storeCallTimeoutMillis the time after which a call to the store counts as
 * unresolved
 * @param forwardTimeoutMillis the timeout of a request to the preferred VM
 * @param recordTimeoutMillis how long the caller that records an outcome waits for it to
 * be durable
 * @param retention the size limits and retention times of a shard
 */
public record ClaimParameters(int shardCount, long minWriteIntervalMillis, long outcomeLingerMillis,
		long retryDelayMillis, long storeCallTimeoutMillis, long forwardTimeoutMillis, long recordTimeoutMillis,
		ClaimRetention retention) {

	private static final int DEFAULT_SHARD_COUNT = 16;

	private static final long DEFAULT_WRITE_INTERVAL_MILLIS = 180;

	private static final long DEFAULT_OUTCOME_LINGER_MILLIS = 500;

	private static final long DEFAULT_RETRY_DELAY_MILLIS = 100;

	private static final long DEFAULT_STORE_TIMEOUT_MILLIS = 1_000;

	private static final long DEFAULT_FORWARD_TIMEOUT_MILLIS = 1_000;

	private static final long DEFAULT_RECORD_TIMEOUT_MILLIS = 5_000;

	/**
	 * Returns the parameters for production.
	 * @return the default parameters
	 */
	public static ClaimParameters standard() {
		return new ClaimParameters(DEFAULT_SHARD_COUNT, DEFAULT_WRITE_INTERVAL_MILLIS, DEFAULT_OUTCOME_LINGER_MILLIS,
				DEFAULT_RETRY_DELAY_MILLIS, DEFAULT_STORE_TIMEOUT_MILLIS, DEFAULT_FORWARD_TIMEOUT_MILLIS,
				DEFAULT_RECORD_TIMEOUT_MILLIS, ClaimRetention.standard());
	}

}
