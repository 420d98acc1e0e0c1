package org.burdocktray.process.burn;

import java.util.List;

/**
 * The burn rates of one indicator at an earlier time, for charts. Thread safety:
 * immutable.
 *
 * @param timeMillis the time, in milliseconds since 1970
 * @param longWindowRates the burn rates of the long windows, the shortest first
 */
public record BurnPoint(long timeMillis, List<BurnRate> longWindowRates) {

	public BurnPoint {
		longWindowRates = List.copyOf(longWindowRates);
	}

}
