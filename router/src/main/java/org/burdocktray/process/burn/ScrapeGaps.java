package org.burdocktray.process.burn;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Finds periods in which one VM was not scraped while another was. Thread safety:
 * stateless.
 */
final class ScrapeGaps {

	/**
	 * A single scrape of another VM makes no gap: when VMs are scraped in turn, each has
	 * one scrape between two of any other.
	 */
	private static final int MIN_SCRAPES_OF_OTHER = 2;

	private ScrapeGaps() {
	}

	static Optional<TimeSpan> findLongest(CounterSeries series, Collection<CounterSeries> fleet) {
		List<Long> times = series.scrapeTimesMillis();
		return IntStream.range(1, times.size())
			.mapToObj((index) -> new TimeSpan(times.get(index - 1), times.get(index)))
			.filter((span) -> fleet.stream().anyMatch((other) -> wasScrapedIn(span, other)))
			.max(Comparator.comparingLong(TimeSpan::lengthMillis));
	}

	private static boolean wasScrapedIn(TimeSpan span, CounterSeries other) {
		List<Long> times = other.scrapeTimesMillis();
		return SortedTimes.indexOfFirstAtLeast(times, span.toMillis())
				- SortedTimes.indexOfFirstAtLeast(times, span.fromMillis() + 1) >= MIN_SCRAPES_OF_OTHER;
	}

}
