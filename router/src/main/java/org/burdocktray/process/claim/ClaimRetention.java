package org.burdocktray.process.claim;

/**
 * The size limits and retention times of a shard. Thread safety: immutable.
 *
 * @param maxValueBytes the maximum size of a shard's encoded value
 * @param maxBodyChars the maximum length of a stored response body, in UTF-16 code units
 * @param retentionSeconds the age after which a completed claim is dropped
 * @param minRetentionSeconds the age up to which a completed claim is kept even if the
 * shard is full
 * @param unknownAfterSeconds the age after which the outcome of an open claim counts as
 * unknown
 * @param releasedRetentionSeconds how long the id of a released claim is kept while the
 * shard is not full
 */
public record ClaimRetention(int maxValueBytes, int maxBodyChars, long retentionSeconds, long minRetentionSeconds,
		long unknownAfterSeconds, long releasedRetentionSeconds) {

	private static final int STORE_VALUE_LIMIT_BYTES = 1_000_000;

	private static final int DEFAULT_MAX_BODY_CHARS = 4096;

	private static final long DAY_SECONDS = 86_400;

	private static final long TEN_MINUTES_SECONDS = 600;

	/**
	 * Returns the retention for production: a value size 10 % below the store's limit of
	 * one megabyte, and completed claims kept for one day.
	 * @return the default retention
	 */
	public static ClaimRetention standard() {
		return new ClaimRetention(STORE_VALUE_LIMIT_BYTES / 10 * 9, DEFAULT_MAX_BODY_CHARS, DAY_SECONDS,
				TEN_MINUTES_SECONDS, TEN_MINUTES_SECONDS, TEN_MINUTES_SECONDS);
	}

}
