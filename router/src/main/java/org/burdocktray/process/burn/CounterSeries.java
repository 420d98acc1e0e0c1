package org.burdocktray.process.burn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The counters of one VM across restarts of its process. Invariants: an increase is never
 * negative; no event is counted twice; a span only includes events that are certain to
 * have happened inside it, and nothing is interpolated. Thread safety: immutable after
 * construction.
 */
public final class CounterSeries {

	private final String vm;

	private final List<CounterSegment> segments = new ArrayList<>();

	private final SortedSet<Indicator> indicators = new TreeSet<>();

	private final List<Long> bundleVersions;

	private final List<Long> scrapeTimesMillis;

	private final int processCount;

	private int incompleteScrapes;

	private int resets;

	private CounterSeries(String vm, Map<Long, List<Scrape>> scrapesByStart) {
		this.vm = vm;
		this.processCount = scrapesByStart.size();
		scrapesByStart.values().forEach(this::addProcessScrapes);
		List<Scrape> allScrapes = scrapesByStart.values().stream().flatMap(List::stream).toList();
		this.scrapeTimesMillis = allScrapes.stream().map(Scrape::timeMillis).distinct().sorted().toList();
		this.bundleVersions = allScrapes.stream().map(Scrape::bundleVersion).distinct().sorted().toList();
	}

	/**
	 * Builds the series of one VM.
	 * @param vm the name of the VM
	 * @param scrapes the scrapes of the VM, at least one, in any order
	 * @return the series
	 */
	public static CounterSeries of(String vm, Collection<Scrape> scrapes) {
		// The start time identifies a process. A late scrape of an earlier process
		// extends that process and does not count as a restart.
		Map<Long, List<Scrape>> scrapesByStart = new TreeMap<>();
		scrapes.stream()
			.sorted(Comparator.comparingLong(Scrape::timeMillis))
			.forEach((scrape) -> scrapesByStart.computeIfAbsent(scrape.startMillis(), (start) -> new ArrayList<>())
				.add(scrape));
		return new CounterSeries(vm, scrapesByStart);
	}

	/**
	 * Returns the name of the VM.
	 * @return the name
	 */
	public String vm() {
		return this.vm;
	}

	/**
	 * Counts the events that are certain to have happened inside a span.
	 * @param indicator the indicator whose events are counted
	 * @param span the span
	 * @return the events
	 */
	public EventCounts increase(Indicator indicator, TimeSpan span) {
		return this.segments.stream()
			.map((segment) -> segment.increase(indicator, span))
			.reduce(EventCounts.NONE, EventCounts::plus);
	}

	/**
	 * Returns the part of a span for which the counts are known.
	 * @param span the span
	 * @return the total time between samples inside the span, in milliseconds
	 */
	public long coveredMillis(TimeSpan span) {
		long covered = this.segments.stream().mapToLong((segment) -> segment.coveredMillis(span)).sum();
		return Math.min(covered, span.lengthMillis());
	}

	/**
	 * Returns the earliest known start of the VM.
	 * @return the time, in milliseconds since 1970
	 */
	public long earliestStartMillis() {
		return this.segments.stream().mapToLong(CounterSegment::startMillis).min().orElse(firstScrapeMillis());
	}

	/**
	 * Returns the time of the first scrape.
	 * @return the time, in milliseconds since 1970
	 */
	public long firstScrapeMillis() {
		return this.scrapeTimesMillis.get(0);
	}

	/**
	 * Returns the time of the last scrape.
	 * @return the time, in milliseconds since 1970
	 */
	public long lastScrapeMillis() {
		return this.scrapeTimesMillis.get(this.scrapeTimesMillis.size() - 1);
	}

	/**
	 * Returns the times of all scrapes.
	 * @return the times, in milliseconds since 1970, sorted
	 */
	public List<Long> scrapeTimesMillis() {
		return this.scrapeTimesMillis;
	}

	/**
	 * Returns the indicators that appear in any scrape.
	 * @return the indicators, sorted
	 */
	public SortedSet<Indicator> indicators() {
		return new TreeSet<>(this.indicators);
	}

	/**
	 * Returns the bundle versions that were in force at any scrape.
	 * @return the versions, sorted
	 */
	public List<Long> bundleVersions() {
		return this.bundleVersions;
	}

	/**
	 * Returns the number of process restarts and of counter resets without a restart.
	 * @return the sum of both
	 */
	public int restarts() {
		return this.processCount - 1 + this.resets;
	}

	/**
	 * Returns the number of scrapes that lack a counter which an earlier scrape of the
	 * same process contains.
	 * @return the number; these scrapes are ignored
	 */
	public int incompleteScrapes() {
		return this.incompleteScrapes;
	}

	private void addProcessScrapes(List<Scrape> scrapes) {
		CounterSegment segment = CounterSegment.startedAt(scrapes.get(0).startMillis());
		this.segments.add(segment);
		for (Scrape scrape : scrapes) {
			if (!scrape.counts().keySet().containsAll(segment.indicators())) {
				this.incompleteScrapes++;
				continue;
			}
			if (segment.hasResetBefore(scrape)) {
				this.resets++;
				// The increase of the old counters since their last sample and the
				// time of the reset are unknown. The new counts are attributed to
				// this scrape, which covers no time.
				segment = CounterSegment.startedAt(scrape.timeMillis());
				this.segments.add(segment);
			}
			segment.add(scrape);
			this.indicators.addAll(scrape.counts().keySet());
		}
	}

}
