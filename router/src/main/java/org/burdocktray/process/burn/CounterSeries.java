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
 * What one VM counted, over all lives of its process. Invariants: an increase is never
 * negative; an event is never counted twice; only events that surely happened inside a
 * span are counted for it, and nothing is interpolated. Thread safety: immutable after
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
		List<Scrape> all = scrapesByStart.values().stream().flatMap(List::stream).toList();
		this.scrapeTimesMillis = all.stream().map(Scrape::timeMillis).distinct().sorted().toList();
		this.bundleVersions = all.stream().map(Scrape::bundleVersion).distinct().sorted().toList();
	}

	/**
	 * Builds the series of one VM.
	 * @param vm the name of the VM
	 * @param scrapes its scrapes in any order, at least one
	 * @return the series
	 */
	public static CounterSeries of(String vm, Collection<Scrape> scrapes) {
		// The start time tells processes apart, so that a scrape of an earlier process
		// that
		// comes late continues that process and is no restart.
		Map<Long, List<Scrape>> byStart = new TreeMap<>();
		scrapes.stream()
			.sorted(Comparator.comparingLong(Scrape::timeMillis))
			.forEach((scrape) -> byStart.computeIfAbsent(scrape.startMillis(), (start) -> new ArrayList<>())
				.add(scrape));
		return new CounterSeries(vm, byStart);
	}

	/**
	 * Returns the name of the VM.
	 * @return the name
	 */
	public String vm() {
		return this.vm;
	}

	/**
	 * Counts the events that surely happened inside a span.
	 * @param indicator what to count
	 * @param span the span
	 * @return the events
	 */
	public EventCounts increase(Indicator indicator, TimeSpan span) {
		return this.segments.stream()
			.map((run) -> run.increase(indicator, span))
			.reduce(EventCounts.NONE, EventCounts::plus);
	}

	/**
	 * Returns for how much of a span the counts are known.
	 * @param span the span
	 * @return the time between samples that lie inside the span
	 */
	public long coveredMillis(TimeSpan span) {
		long covered = this.segments.stream().mapToLong((run) -> run.coveredMillis(span)).sum();
		return Math.min(covered, span.lengthMillis());
	}

	/**
	 * Returns since when the VM is known to have run.
	 * @return its earliest start, in milliseconds since 1970
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
	 * Returns what was counted at any time.
	 * @return the indicators, sorted
	 */
	public SortedSet<Indicator> indicators() {
		return new TreeSet<>(this.indicators);
	}

	/**
	 * Returns the bundle versions that were in force.
	 * @return the versions, sorted
	 */
	public List<Long> bundleVersions() {
		return this.bundleVersions;
	}

	/**
	 * Returns how often the process started again, or its counters fell.
	 * @return the number
	 */
	public int restarts() {
		return this.processCount - 1 + this.resets;
	}

	/**
	 * Returns how many scrapes lacked a counter that the same process had shown before.
	 * @return the number; these scrapes are left out
	 */
	public int incompleteScrapes() {
		return this.incompleteScrapes;
	}

	private void addProcessScrapes(List<Scrape> scrapes) {
		CounterSegment run = CounterSegment.startedAt(scrapes.get(0).startMillis());
		this.segments.add(run);
		for (Scrape scrape : scrapes) {
			if (!scrape.counts().keySet().containsAll(run.indicators())) {
				this.incompleteScrapes++;
				continue;
			}
			if (run.hasResetBefore(scrape)) {
				this.resets++;
				// What the old counters gained since their last sample is lost, and so is
				// the
				// time of the reset: the new counts belong to this scrape, which covers
				// nothing.
				run = CounterSegment.startedAt(scrape.timeMillis());
				this.segments.add(run);
			}
			run.add(scrape);
			this.indicators.addAll(scrape.counts().keySet());
		}
	}

}
