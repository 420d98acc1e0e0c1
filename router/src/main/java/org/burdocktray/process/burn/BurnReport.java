package org.burdocktray.process.burn;

import java.util.List;

/**
 * The content of a burn report, independent of the output format. Thread safety:
 * immutable.
 *
 * @param asOfMillis the end of all windows, in milliseconds since 1970
 * @param bundleVersion the version of the bundle that defines the objectives
 * @param burns one entry for each organisation and objective
 * @param vms the scrape coverage of each VM
 * @param notes notes on the data behind the report
 */
public record BurnReport(long asOfMillis, long bundleVersion, List<IndicatorBurn> burns, List<VmCoverage> vms,
		List<BurnNote> notes) {

	public BurnReport {
		burns = List.copyOf(burns);
		vms = List.copyOf(vms);
		notes = List.copyOf(notes);
	}

	/**
	 * Counts the alert conditions in a state.
	 * @param state the state
	 * @return the number of conditions
	 */
	public long count(BurnAlert.State state) {
		return this.burns.stream()
			.flatMap((burn) -> burn.alerts().stream())
			.filter((alert) -> alert.state() == state)
			.count();
	}

}
