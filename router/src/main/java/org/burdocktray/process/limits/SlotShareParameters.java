package org.burdocktray.process.limits;

/**
 * Limits on loans of slots between VMs. Thread safety: immutable.
 *
 * @param loanTermMillis the maximum duration of a loan
 * @param admissionPeriodMillis how long after its loan request a borrower admits requests
 * on the loan; shorter than the term, so that admitted requests can end within the term
 * @param requestTimeoutMillis how long a borrower waits for the reply to a loan request
 * @param clockDriftRatio the maximum relative difference between the rates of two VMs'
 * clocks
 */
public record SlotShareParameters(long loanTermMillis, long admissionPeriodMillis, long requestTimeoutMillis,
		double clockDriftRatio) {

	private static final long LOAN_TERM_MILLIS = 120_000;

	private static final long ADMISSION_PERIOD_MILLIS = 60_000;

	private static final long REQUEST_TIMEOUT_MILLIS = 1000;

	private static final double CLOCK_DRIFT_RATIO = 0.02;

	/**
	 * Returns the default parameters.
	 * @return the defaults
	 */
	public static SlotShareParameters defaults() {
		return new SlotShareParameters(LOAN_TERM_MILLIS, ADMISSION_PERIOD_MILLIS, REQUEST_TIMEOUT_MILLIS,
				CLOCK_DRIFT_RATIO);
	}

}
