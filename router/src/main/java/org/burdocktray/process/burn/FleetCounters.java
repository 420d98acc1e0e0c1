package org.burdocktray.process.burn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The counters of all VMs. A VM that started after the first scrape of the fleet is
 * expected from its start on. Any other VM is expected in each complete window, even
 * after it disappeared, until it is declared retired. Thread safety: immutable.
 */
public final class FleetCounters {

	private final SortedSet<String> vms = new TreeSet<>();

	private final Map<String, CounterSeries> seriesByVm = new TreeMap<>();

	private final Collection<String> retiredVms;

	private final long firstScrapeMillis;

	/**
	 * Creates the counters.
	 * @param expectedVms the names of VMs that are expected even without a scrape
	 * @param retiredVms the names of VMs that are not expected after their last scrape
	 * @param scrapes all scrapes, in any order
	 */
	public FleetCounters(Collection<String> expectedVms, Collection<String> retiredVms, Collection<Scrape> scrapes) {
		Map<String, List<Scrape>> byVm = new TreeMap<>();
		scrapes.forEach((scrape) -> byVm.computeIfAbsent(scrape.vm(), (vm) -> new ArrayList<>()).add(scrape));
		byVm.forEach((vm, vmScrapes) -> this.seriesByVm.put(vm, CounterSeries.of(vm, vmScrapes)));
		this.vms.addAll(expectedVms);
		this.vms.addAll(byVm.keySet());
		this.retiredVms = List.copyOf(retiredVms);
		this.firstScrapeMillis = scrapes.stream().mapToLong(Scrape::timeMillis).min().orElse(0);
	}

	Collection<String> vms() {
		return this.vms;
	}

	Collection<CounterSeries> series() {
		return this.seriesByVm.values();
	}

	boolean startedAfterFirstScrape(CounterSeries series) {
		return series.earliestStartMillis() > this.firstScrapeMillis;
	}

	boolean isRetired(String vm) {
		return this.retiredVms.contains(vm);
	}

	long firstScrapeMillis() {
		return this.firstScrapeMillis;
	}

	SortedSet<Indicator> indicators() {
		SortedSet<Indicator> indicators = new TreeSet<>();
		series().forEach((series) -> indicators.addAll(series.indicators()));
		return indicators;
	}

	EventCounts increase(Indicator indicator, TimeSpan span) {
		return series().stream()
			.map((series) -> series.increase(indicator, span))
			.reduce(EventCounts.NONE, EventCounts::plus);
	}

	VmCoverage.WindowCoverage coverage(String vm, TimeSpan span) {
		CounterSeries series = this.seriesByVm.get(vm);
		if (series == null) {
			return new VmCoverage.WindowCoverage(span.lengthMillis(), span.lengthMillis(), 0);
		}
		long expected = expectedMillis(series, span);
		return new VmCoverage.WindowCoverage(span.lengthMillis(), expected,
				Math.min(expected, series.coveredMillis(span)));
	}

	/**
	 * Returns the coverage of a span over all VMs.
	 * @param span the span
	 * @return the covered share of the expected time, 0 to 1
	 */
	double coverage(TimeSpan span) {
		long expected = 0;
		long covered = 0;
		for (String vm : this.vms) {
			VmCoverage.WindowCoverage coverage = coverage(vm, span);
			expected += coverage.expectedMillis();
			covered += coverage.coveredMillis();
		}
		return (expected == 0) ? 0 : (double) covered / expected;
	}

	private long expectedMillis(CounterSeries series, TimeSpan span) {
		long from = startedAfterFirstScrape(series) ? Math.max(span.fromMillis(), series.earliestStartMillis())
				: span.fromMillis();
		long to = isRetired(series.vm()) ? Math.min(span.toMillis(), series.lastScrapeMillis()) : span.toMillis();
		return Math.max(0, to - from);
	}

}
