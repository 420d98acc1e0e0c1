package org.burdocktray.process.burn;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Counts and coverage of one VM. Times are in milliseconds. A scrape is written as {@code
 * time:start:good/bad}, or {@code time:start:-} without the counter.
 */
class CounterSeriesTests {

	private static final Indicator INDICATOR = new Indicator("bakery", "answered");

	@ParameterizedTest(name = "{0}")
	@CsvSource({ "one process,                   10:0:5/1 20:0:9/1 30:0:12/4,     10, 30, 7, 3, 20",
			"scrapes in any order,               30:0:12/4 10:0:5/1 20:0:9/1,     10, 30, 7, 3, 20",
			"start before the window,            20:0:9/1 30:0:12/4,              10, 30, 3, 3, 10",
			"start in the window,                20:12:9/1 30:12:12/4,            10, 30, 12, 4, 18",
			"gap inside the window,              10:0:5/1 30:0:12/4,              10, 30, 7, 3, 20",
			"gap over the start of the window,   5:0:5/1 20:0:9/1 30:0:12/4,      10, 30, 3, 3, 10",
			"gap over the end of the window,     10:0:5/1 20:0:9/1 35:0:12/4,     10, 30, 4, 0, 10",
			"gap over the complete window,       5:0:5/1 35:0:12/4,               10, 30, 0, 0, 0",
			"nothing in the window,              1:0:5/1 2:0:6/1,                 10, 30, 0, 0, 0",
			"restart with a lower counter,       10:0:5/1 20:15:2/0 30:15:4/1,    10, 30, 4, 1, 15",
			"restart with a higher counter,      10:0:5/1 20:15:8/1 30:15:9/1,    10, 30, 9, 1, 15",
			"two restarts,                       10:0:5/1 20:15:2/0 30:25:1/1,    10, 30, 3, 1, 10",
			"restart in a gap,                   10:0:5/1 30:25:3/2,              10, 30, 3, 2, 5",
			"late scrape of an earlier process,  10:0:5/1 20:15:2/0 30:0:7/1,     10, 30, 4, 0, 20",
			"reset without a new start,          10:0:5/1 20:0:2/0 30:0:4/1,      10, 30, 4, 1, 10",
			"only the bad counter is reset,      10:0:5/3 20:0:6/1 30:0:7/1,      10, 30, 7, 1, 10",
			"clock ahead of the scraper's,       10:0:5/1 20:22:2/0 30:22:4/1,    10, 30, 4, 1, 10",
			"counter that appears,               10:0:- 20:0:3/0 30:0:4/1,        10, 30, 4, 1, 20",
			"counter lost from one scrape,       10:0:5/1 20:0:- 30:0:8/2,        10, 30, 3, 1, 20",
			"same time twice,                    10:0:5/1 30:0:8/2 30:0:8/2,      10, 30, 3, 1, 20" })
	void countsOnlyEventsCertainToBeInsideSpan(String scenario, String scrapes, long fromMillis, long toMillis,
			long good, long bad, long coveredMillis) {
		CounterSeries series = series(scrapes);
		TimeSpan span = new TimeSpan(fromMillis, toMillis);
		assertThat(series.increase(INDICATOR, span)).isEqualTo(new EventCounts(good, bad));
		assertThat(series.coveredMillis(span)).isEqualTo(coveredMillis);
	}

	@Test
	void countsNoEventTwiceInAdjacentSpans() {
		CounterSeries series = series("10:0:5/1 20:0:9/1 25:0:2/2 30:0:12/4 40:33:1/1");
		TimeSpan fullSpan = new TimeSpan(10, 40);
		for (long middle = 10; middle <= 40; middle++) {
			EventCounts parts = series.increase(INDICATOR, new TimeSpan(10, middle))
				.plus(series.increase(INDICATOR, new TimeSpan(middle, 40)));
			assertThat(parts.total()).isLessThanOrEqualTo(series.increase(INDICATOR, fullSpan).total());
		}
	}

	@Test
	void countsRestartsAndIncompleteScrapes() {
		CounterSeries series = series("10:0:5/1 20:0:- 30:0:4/0 40:33:1/1");
		assertThat(series.restarts()).isEqualTo(2);
		assertThat(series.incompleteScrapes()).isEqualTo(1);
	}

	private static CounterSeries series(String scrapes) {
		List<Scrape> allScrapes = Stream.of(scrapes.split(" ")).map(CounterSeriesTests::scrape).toList();
		return CounterSeries.of("ghent-1", allScrapes);
	}

	static Scrape scrape(String text) {
		String[] parts = text.split("[:/]");
		Map<Indicator, EventCounts> counts = parts[2].equals("-") ? Map.of()
				: Map.of(INDICATOR, new EventCounts(Long.parseLong(parts[2]), Long.parseLong(parts[3])));
		return new Scrape("ghent-1", Long.parseLong(parts[0]), Long.parseLong(parts[1]), 1, counts);
	}

}
