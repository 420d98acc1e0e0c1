package org.burdocktray.process.burn;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Collects notes on missing scrapes, restarts, and mismatches between counters and
 * objectives. Thread safety: immutable.
 */
final class BurnNoteCollector {

	private final long bundleVersion;

	private final Set<String> objectives;

	BurnNoteCollector(long bundleVersion, Set<String> objectives) {
		this.bundleVersion = bundleVersion;
		this.objectives = Set.copyOf(objectives);
	}

	List<BurnNote> collect(FleetCounters fleet, long asOfMillis) {
		List<BurnNote> notes = new ArrayList<>();
		Set<String> vmsWithoutScrape = new TreeSet<>(fleet.vms());
		for (CounterSeries series : fleet.series()) {
			vmsWithoutScrape.remove(series.vm());
			addVmNotes(fleet, series, asOfMillis, notes);
		}
		vmsWithoutScrape.forEach((vm) -> notes.add(new BurnNote(BurnNote.Kind.VM_MISSING, vm, "no scrape at all")));
		addObjectiveNotes(fleet, notes);
		return notes;
	}

	private void addVmNotes(FleetCounters fleet, CounterSeries series, long asOfMillis, List<BurnNote> notes) {
		String vm = series.vm();
		if (series.lastScrapeMillis() < asOfMillis) {
			notes.add(new BurnNote(BurnNote.Kind.VM_MISSING, vm, "last scrape at "
					+ formatTime(series.lastScrapeMillis()) + (fleet.isRetired(vm) ? ", retired" : "")));
		}
		ScrapeGaps.findLongest(series, fleet.series())
			.ifPresent((gap) -> notes.add(new BurnNote(BurnNote.Kind.VM_MISSING, vm,
					"not scraped between " + formatTime(gap.fromMillis()) + " and " + formatTime(gap.toMillis())
							+ " while others were; windows that begin or end in between lack its counts")));
		if (fleet.startedAfterFirstScrape(series)) {
			notes.add(new BurnNote(BurnNote.Kind.VM_APPEARED, vm, "since " + formatTime(series.earliestStartMillis())));
		}
		if (series.restarts() > 0) {
			notes.add(new BurnNote(BurnNote.Kind.VM_RESTARTED, vm, "counters began anew " + series.restarts()
					+ " time(s); events between the last scrape and the end of a process are not known"));
		}
		if (series.incompleteScrapes() > 0) {
			notes.add(new BurnNote(BurnNote.Kind.SCRAPE_LEFT_OUT, vm,
					series.incompleteScrapes() + " scrape(s) lack counters that the process had shown before"));
		}
		if (!series.bundleVersions().equals(List.of(this.bundleVersion))) {
			notes.add(new BurnNote(BurnNote.Kind.BUNDLE_DIFFERS, vm,
					"ran bundle versions " + series.bundleVersions() + "; objectives are those of version "
							+ this.bundleVersion
							+ ", and older counts were judged as good or bad by the definitions of their time"));
		}
	}

	private void addObjectiveNotes(FleetCounters fleet, List<BurnNote> notes) {
		Set<String> countedObjectives = new TreeSet<>();
		for (Indicator indicator : fleet.indicators()) {
			countedObjectives.add(indicator.objective());
			if (!this.objectives.contains(indicator.objective())) {
				notes.add(new BurnNote(BurnNote.Kind.OBJECTIVE_UNKNOWN, indicator.objective(),
						"counted for " + indicator.organisation() + ", but not defined in the bundle; not judged"));
			}
		}
		Set<String> uncountedObjectives = new TreeSet<>(this.objectives);
		uncountedObjectives.removeAll(countedObjectives);
		uncountedObjectives.forEach((objective) -> notes
			.add(new BurnNote(BurnNote.Kind.OBJECTIVE_WITHOUT_EVENTS, objective, "no counter in any scrape")));
	}

	private static String formatTime(long timeMillis) {
		return Instant.ofEpochMilli(timeMillis).toString();
	}

}
