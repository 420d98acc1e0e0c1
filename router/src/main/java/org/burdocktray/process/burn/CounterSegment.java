package org.burdocktray.process.burn;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Samples of the counters of one process from their start at 0, without a reset.
 * Invariants: times and counts never decrease; each counter has one count for each time.
 * Thread safety: confined to one thread while samples are added, immutable after that.
 */
final class CounterSegment {

	private final List<Long> timesMillis = new ArrayList<>();

	private final Map<Indicator, List<EventCounts>> counts = new HashMap<>();

	private CounterSegment(long startMillis) {
		this.timesMillis.add(startMillis);
	}

	static CounterSegment startedAt(long startMillis) {
		return new CounterSegment(startMillis);
	}

	Set<Indicator> indicators() {
		return this.counts.keySet();
	}

	long startMillis() {
		return this.timesMillis.get(0);
	}

	boolean hasResetBefore(Scrape scrape) {
		return this.counts.entrySet()
			.stream()
			.anyMatch((entry) -> scrape.counts().get(entry.getKey()).isAnyCountBelow(lastSample(entry.getValue())));
	}

	void add(Scrape scrape) {
		// The clock of a VM can be ahead of the scraper's clock. The start is limited to
		// the time of the scrape, since a process cannot start after its own scrape.
		this.timesMillis.set(0, Math.min(this.timesMillis.get(0), scrape.timeMillis()));
		for (Map.Entry<Indicator, EventCounts> entry : scrape.counts().entrySet()) {
			this.counts
				.computeIfAbsent(entry.getKey(),
						(indicator) -> new ArrayList<>(Collections.nCopies(this.timesMillis.size(), EventCounts.NONE)))
				.add(entry.getValue());
		}
		this.timesMillis.add(scrape.timeMillis());
	}

	EventCounts increase(Indicator indicator, TimeSpan span) {
		List<EventCounts> samples = this.counts.get(indicator);
		int first = firstIndexIn(span);
		int last = lastIndexIn(span);
		if (samples == null || first >= last) {
			return EventCounts.NONE;
		}
		return samples.get(last).minus(samples.get(first));
	}

	long coveredMillis(TimeSpan span) {
		int first = firstIndexIn(span);
		int last = lastIndexIn(span);
		return (first >= last) ? 0 : this.timesMillis.get(last) - this.timesMillis.get(first);
	}

	private int firstIndexIn(TimeSpan span) {
		int firstAfter = SortedTimes.indexOfFirstAtLeast(this.timesMillis, span.fromMillis() + 1);
		boolean isSampleAtStart = firstAfter > 0 && this.timesMillis.get(firstAfter - 1) == span.fromMillis();
		return isSampleAtStart ? firstAfter - 1 : firstAfter;
	}

	private int lastIndexIn(TimeSpan span) {
		return SortedTimes.indexOfFirstAtLeast(this.timesMillis, span.toMillis() + 1) - 1;
	}

	private static EventCounts lastSample(List<EventCounts> samples) {
		return samples.get(samples.size() - 1);
	}

}
