package org.burdocktray.process.burn;

import java.util.List;

import org.burdocktray.version.bundle.Objective;

/**
 * The alert conditions, error budget and burn-rate history of one objective for one
 * organisation. Thread safety: immutable.
 *
 * @param organisation the name of the organisation
 * @param objective the objective
 * @param alerts the alert conditions, in ascending order of window length
 * @param budget the remaining error budget
 * @param history earlier burn rates, oldest first
 */
public record IndicatorBurn(String organisation, Objective objective, List<BurnAlert> alerts, ErrorBudget budget,
		List<BurnPoint> history) {

	public IndicatorBurn {
		alerts = List.copyOf(alerts);
		history = List.copyOf(history);
	}

}
