package org.burdocktray.process.limits;

/**
 * Limits on the wait for an admission slot. Thread safety: immutable.
 *
 * @param firstTokenReserveMillis the part of the time until the deadline that is reserved
 * for producing the first token after admission
 * @param maxWaitRatio the longest estimated wait with which a request may join the queue,
 * as a fraction of the time until its latest start; above 0, at most 1
 * @param maxWaitingPerOrganisation the maximum number of queued requests of one
 * organisation
 * @param maxLoanWaitMillis how long a request that cannot join the queue waits for a slot
 * on loan from another VM
 * @param maxRetryAfterMillis the upper limit of the retry delay that is returned to
 * callers
 */
public record AdmissionParameters(long firstTokenReserveMillis, double maxWaitRatio, int maxWaitingPerOrganisation,
		long maxLoanWaitMillis, long maxRetryAfterMillis) {

	private static final long FIRST_TOKEN_RESERVE_MILLIS = 200;

	private static final double MAX_WAIT_RATIO = 0.5;

	private static final int MAX_WAITING_PER_ORGANISATION = 1000;

	private static final long MAX_LOAN_WAIT_MILLIS = 30;

	private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

	public AdmissionParameters {
		if (!(maxWaitRatio > 0 && maxWaitRatio <= 1)) {
			throw new IllegalArgumentException("maxWaitRatio must be above 0 and at most 1, was " + maxWaitRatio);
		}
	}

	/**
	 * Returns the default parameters.
	 * @return the defaults
	 */
	public static AdmissionParameters defaults() {
		return new AdmissionParameters(FIRST_TOKEN_RESERVE_MILLIS, MAX_WAIT_RATIO, MAX_WAITING_PER_ORGANISATION,
				MAX_LOAN_WAIT_MILLIS, MAX_RETRY_AFTER_MILLIS);
	}

}
