package org.burdocktray.process.burn;

import java.util.Map;

/**
 * The metrics of one VM at one time. Thread safety: immutable.
 *
 * @param vm the name under which the VM was scraped
 * @param timeMillis the time of the scrape, in milliseconds since 1970
 * @param startMillis the start time of the VM's process, in milliseconds since 1970
 * @param bundleVersion the bundle version in force, 0 for none
 * @param counts the counters; an absent counter is 0
 */
public record Scrape(String vm, long timeMillis, long startMillis, long bundleVersion,
		Map<Indicator, EventCounts> counts) {

	public Scrape {
		counts = Map.copyOf(counts);
	}

}
