package org.burdocktray.process.burn;

import java.util.List;

/**
 * A point of a burn-rate chart: the burn rates of one indicator at an earlier time.
 * Thread safety: immutable.
 *
 * @param timeMillis the time, in milliseconds since 1970
 * @param longWindowRates the burn rates of the long windows, in ascending order of window
 * length
 */
public record BurnPoint(long timeMillis, List<BurnRate> longWindowRates) {

	public BurnPoint {
		longWindowRates = List.copyOf(longWindowRates);
	}

}
