package org.burdocktray.process.burn;

import java.math.BigDecimal;
import java.util.OptionalDouble;

import org.burdocktray.version.bundle.Objective;

/**
 * The rate at which an error budget is consumed in one window. At a burn rate of 1 the
 * budget lasts exactly until the end of the objective's window. Invariant: without enough
 * data there is no value. Thread safety: immutable.
 *
 * @param windowMillis the length of the window
 * @param counts the counted events
 * @param coverage the share of the window for which the events are known, 0 to 1
 * @param state whether there is a value
 * @param value the burn rate, empty unless the state is {@link State#FIGURE}
 */
public record BurnRate(long windowMillis, EventCounts counts, double coverage, State state, OptionalDouble value) {

	/** The minimum coverage of a window for which a burn rate is computed. */
	public static final double MIN_COVERAGE = 0.75;

	/**
	 * Computes a burn rate.
	 * @param objective the objective
	 * @param windowMillis the length of the window
	 * @param counts the counted events
	 * @param coverage the share of the window for which the events are known, 0 to 1
	 * @return the burn rate
	 */
	public static BurnRate of(Objective objective, long windowMillis, EventCounts counts, double coverage) {
		if (coverage < MIN_COVERAGE) {
			return new BurnRate(windowMillis, counts, coverage, State.NOT_ENOUGH_DATA, OptionalDouble.empty());
		}
		if (counts.total() == 0) {
			return new BurnRate(windowMillis, counts, coverage, State.NO_EVENTS, OptionalDouble.empty());
		}
		double badShare = (double) counts.bad() / counts.total();
		return new BurnRate(windowMillis, counts, coverage, State.FIGURE,
				OptionalDouble.of(badShare / budgetShare(objective)));
	}

	/**
	 * Returns the share of events that may be bad.
	 * @param objective the objective
	 * @return the share, above 0 and below 1
	 */
	static double budgetShare(Objective objective) {
		// Uses decimal arithmetic: in binary, 1 - 0.999 is slightly above 0.001.
		return BigDecimal.ONE.subtract(BigDecimal.valueOf(objective.target())).doubleValue();
	}

	boolean exceeds(double bound) {
		return this.value.isPresent() && this.value.getAsDouble() > bound;
	}

	/** Whether a burn rate has a value. */
	public enum State {

		/** There is a value. */
		FIGURE,

		/** The coverage suffices, but no events were counted. */
		NO_EVENTS,

		/** The coverage is below {@link BurnRate#MIN_COVERAGE}. */
		NOT_ENOUGH_DATA

	}

}
