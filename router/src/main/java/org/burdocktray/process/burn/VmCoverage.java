package org.burdocktray.process.burn;

import java.util.List;

/**
 * The scrape coverage of one VM. Thread safety: immutable.
 *
 * @param vm the name under which the VM was scraped
 * @param firstScrapeMillis the time of its first scrape, in milliseconds since 1970; 0
 * for none
 * @param lastScrapeMillis the time of its last scrape, in milliseconds since 1970; 0 for
 * none
 * @param restarts the number of process restarts and of counter resets without a restart
 * @param windows the coverage of each window
 */
public record VmCoverage(String vm, long firstScrapeMillis, long lastScrapeMillis, int restarts,
		List<WindowCoverage> windows) {

	public VmCoverage {
		windows = List.copyOf(windows);
	}

	/**
	 * The coverage of one window. Thread safety: immutable.
	 *
	 * @param windowMillis the length of the window, which ends at the time of the report
	 * @param expectedMillis the part of the window in which the VM is expected to run
	 * @param coveredMillis the part of the window for which the events are known
	 */
	public record WindowCoverage(long windowMillis, long expectedMillis, long coveredMillis) {

		/**
		 * Returns the covered share of the expected time.
		 * @return 0 to 1; 1 when the VM is not expected in the window
		 */
		public double share() {
			return (this.expectedMillis == 0) ? 1 : Math.min(1, (double) this.coveredMillis / this.expectedMillis);
		}

	}

}
