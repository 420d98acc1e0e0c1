package org.burdocktray.process.burn;

/**
 * One alert condition of an objective. It burns when the burn rates of both windows
 * exceed the bound. Thread safety: immutable.
 *
 * @param windowPair the two windows and the bound
 * @param longWindowRate the burn rate of the long window
 * @param shortWindowRate the burn rate of the short window
 */
public record BurnAlert(BurnWindowPair windowPair, BurnRate longWindowRate, BurnRate shortWindowRate) {

	/**
	 * Returns the state of the condition. A single window with enough data that does not
	 * exceed the bound makes the condition quiet, even if the other window lacks data.
	 * @return the state
	 */
	public State state() {
		if (isQuiet(this.longWindowRate) || isQuiet(this.shortWindowRate)) {
			return State.QUIET;
		}
		boolean isAnyDataMissing = lacksData(this.longWindowRate) || lacksData(this.shortWindowRate);
		return isAnyDataMissing ? State.UNDECIDED : State.BURNING;
	}

	private boolean isQuiet(BurnRate rate) {
		return !lacksData(rate) && !rate.exceeds(this.windowPair.burnRateBound());
	}

	private static boolean lacksData(BurnRate rate) {
		return rate.state() == BurnRate.State.NOT_ENOUGH_DATA;
	}

	/** The state of an alert condition. */
	public enum State {

		/** Both windows exceed the bound. */
		BURNING,

		/** At least one window has enough data and does not exceed the bound. */
		QUIET,

		/**
		 * At least one window lacks data, and the other does not make the condition
		 * quiet.
		 */
		UNDECIDED

	}

}
