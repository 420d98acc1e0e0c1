package org.burdocktray.process.burn;

import java.util.Comparator;

/**
 * Identifies a service-level indicator, which is counted by one counter of good and one
 * of bad events. Thread safety: immutable.
 *
 * @param organisation the name of the organisation
 * @param objective the name of the objective
 */
public record Indicator(String organisation, String objective) implements Comparable<Indicator> {

	private static final Comparator<Indicator> ORDER = Comparator.comparing(Indicator::organisation)
		.thenComparing(Indicator::objective);

	@Override
	public int compareTo(Indicator other) {
		return ORDER.compare(this, other);
	}

}
