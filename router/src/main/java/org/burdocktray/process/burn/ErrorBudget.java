package org.burdocktray.process.burn;

import java.util.OptionalDouble;

import org.burdocktray.version.bundle.Objective;

/**
 * The remaining error budget of an objective in the window that ends at the time of the
 * report. Invariant: without enough data there is no remaining share. Thread safety:
 * immutable.
 *
 * @param windowRate the burn rate over the objective's complete window
 * @param remainingShare the remaining share of the budget: 1 without bad events, below 0
 * when overspent, empty without enough data
 */
public record ErrorBudget(BurnRate windowRate, OptionalDouble remainingShare) {

	/**
	 * Computes the remaining budget.
	 * @param objective the objective
	 * @param windowMillis the length of its window
	 * @param counts the counted events
	 * @param coverage the share of the window for which the events are known, 0 to 1
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
