package org.burdocktray.process.limits;

/**
 * Limits on retries. Thread safety: immutable.
 *
 * @param ratio the retries allowed for each first attempt, 0 to 1
 * @param floorPerSecond the retries per second that each budget allows regardless of the
 * ratio
 * @param burst the maximum number of retries that can be saved
 * @param groupFailureRatio the fraction of a group's recent attempts that must fail for
 * the group to count as failing
 * @param minGroupAttempts the minimum number of recent attempts for a group to count as
 * failing
 */
public record RetryBudgetParameters(double ratio, double floorPerSecond, double burst, double groupFailureRatio,
		double minGroupAttempts) {

	private static final double FLEET_FLOOR_PER_SECOND = 0.1;

	private static final double FLEET_BURST = 50;

	private static final double MIN_BURST = 3;

	private static final double GROUP_FAILURE_RATIO = 0.9;

	private static final double MIN_GROUP_ATTEMPTS = 10;

	/**
	 * Returns the parameters for the retry ratio of a bundle.
	 * @param ratio the retries allowed for each first attempt
	 * @param vmShare this VM's share of the fleet, 0 to 1
	 * @return the parameters
	 */
	public static RetryBudgetParameters of(double ratio, double vmShare) {
		return new RetryBudgetParameters(ratio, FLEET_FLOOR_PER_SECOND * vmShare,
				Math.max(MIN_BURST, FLEET_BURST * vmShare), GROUP_FAILURE_RATIO, MIN_GROUP_ATTEMPTS);
	}

}
