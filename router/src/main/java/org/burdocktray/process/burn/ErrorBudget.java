package org.burdocktray.process.burn;

import java.util.OptionalDouble;

import org.burdocktray.version.bundle.Objective;

/**
 * What is left of an objective's error budget in the window that ends now. Invariant:
 * without enough data there is no figure. Thread safety: immutable.
 *
 * @param windowRate the burn rate over the objective's whole window
 * @param remainingShare the share that is left, 1 when nothing was bad, below 0 when
 * overspent; empty without enough data
 */
public record ErrorBudget(BurnRate windowRate, OptionalDouble remainingShare) {

	/**
	 * Computes what is left.
	 * @param objective the objective
	 * @param windowMillis the length of its window
	 * @param counts the events that were seen
	 * @param coverage the share of the window for which the events are known
	 * @return the budget
	 */
	public static ErrorBudget of(Objective objective, long windowMillis, EventCounts counts, double coverage) {
		BurnRate rate = BurnRate.of(objective, windowMillis, counts, coverage);
		return new ErrorBudget(rate, switch (rate.state()) {
			case NOT_ENOUGH_DATA -> OptionalDouble.empty();
			case NO_EVENTS -> OptionalDouble.of(1);
			case FIGURE -> OptionalDouble.of(1 - rate.value().getAsDouble());
		});
	}

}
