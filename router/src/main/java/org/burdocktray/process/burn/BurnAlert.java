package org.burdocktray.process.burn;

/**
 * One alert condition: it burns when both windows exceed the bound. Thread safety:
 * immutable.
 *
 * @param windowPair the pair of windows and the bound
 * @param longWindowRate the burn rate of the long window
 * @param shortWindowRate the burn rate of the short window
 */
public record BurnAlert(BurnWindowPair windowPair, BurnRate longWindowRate, BurnRate shortWindowRate) {

	/**
	 * Decides the condition. It is quiet as soon as one window is known to be, also when
	 * the other lacks data.
	 * @return the state
	 */
	public State state() {
		if (isQuiet(this.longWindowRate) || isQuiet(this.shortWindowRate)) {
			return State.QUIET;
		}
		boolean undecided = lacksData(this.longWindowRate) || lacksData(this.shortWindowRate);
		return undecided ? State.UNDECIDED : State.BURNING;
	}

	private boolean isQuiet(BurnRate rate) {
		return !lacksData(rate) && !rate.exceeds(this.windowPair.burnRateBound());
	}

	private static boolean lacksData(BurnRate rate) {
		return rate.state() == BurnRate.State.NOT_ENOUGH_DATA;
	}

	/** What is known of the condition. */
	public enum State {

		/** Both windows exceed the bound. */
		BURNING,

		/** A window does not exceed the bound. */
		QUIET,

		/** Not enough data to tell. */
		UNDECIDED

	}

}
