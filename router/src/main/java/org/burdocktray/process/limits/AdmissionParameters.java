package org.burdocktray.process.limits;

/**
 * Bounds on the wait for a place. Thread safety: immutable.
 *
 * @param firstTokenReserveMillis the time kept for the first token itself, once a request
 * has its place
 * @param maxWaitRatio a request joins the queue only when its estimated wait is below
 * this part of the time it has; above 0, at most 1
 * @param maxWaitingPerOrganisation the most requests of one organisation that wait
 * @param maxLoanWaitMillis how long a request that finds no place waits for another VM's
 * @param maxRetryAfterMillis the longest time after which a caller is told to come back
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
			throw new IllegalArgumentException("joinRatio must be above 0 and at most 1, was " + maxWaitRatio);
		}
	}

	/**
	 * Returns the parameters that are used unless told otherwise.
	 * @return the defaults
	 */
	public static AdmissionParameters defaults() {
		return new AdmissionParameters(FIRST_TOKEN_RESERVE_MILLIS, MAX_WAIT_RATIO, MAX_WAITING_PER_ORGANISATION,
				MAX_LOAN_WAIT_MILLIS, MAX_RETRY_AFTER_MILLIS);
	}

}
