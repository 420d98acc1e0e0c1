package org.burdocktray.process.limits;

/**
 * Bounds on the loans of places. Thread safety: immutable.
 *
 * @param loanTermMillis how long a loan lasts at most
 * @param admissionPeriodMillis how long after its request a borrower admits on a loan, so
 * that what it admitted can end within the term
 * @param requestTimeoutMillis how long a borrower waits for an answer
 * @param clockDriftRatio how much faster or slower than another a VM's clock may run
 */
public record SlotShareParameters(long loanTermMillis, long admissionPeriodMillis, long requestTimeoutMillis,
		double clockDriftRatio) {

	private static final long LOAN_TERM_MILLIS = 120_000;

	private static final long ADMISSION_PERIOD_MILLIS = 60_000;

	private static final long REQUEST_TIMEOUT_MILLIS = 1000;

	private static final double CLOCK_DRIFT_RATIO = 0.02;

	/**
	 * Returns the parameters that are used unless told otherwise.
	 * @return the defaults
	 */
	public static SlotShareParameters defaults() {
		return new SlotShareParameters(LOAN_TERM_MILLIS, ADMISSION_PERIOD_MILLIS, REQUEST_TIMEOUT_MILLIS,
				CLOCK_DRIFT_RATIO);
	}

}
