package org.burdocktray.process.burn;

import java.util.List;
import java.util.Map;

import org.burdocktray.process.metrics.RouterMetrics;
import org.burdocktray.version.bundle.Objective;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Scrapes read from rendered, incomplete and malformed metrics.
 */
class ScrapeReaderTests {

	private static final Objective ANSWERED = new Objective("answered", Objective.Kind.AVAILABILITY, 0.999, 0, 720);

	private static final String START_TIME_LINE = "burdocktray_start_time_seconds 1.5E9\n";

	@ParameterizedTest
	@ValueSource(strings = { "bakery", "dairy & sons", "a \"b\" \\ {c} d=1,\ne", "bäckerei" })
	void readsMetricsRenderedByRouter(String organisation) {
		RouterMetrics metrics = new RouterMetrics(1_700_000_000_123L);
		metrics.setBundleVersion(7);
		for (int event = 0; event < 3; event++) {
			metrics.recordObjectiveEvent(List.of(ANSWERED), ANSWERED.kind(), organisation, 0);
		}
		metrics.recordObjectiveEvent(List.of(ANSWERED), ANSWERED.kind(), organisation, Long.MAX_VALUE);
		Scrape scrape = ScrapeReader.read("ghent-1", 5, metrics.render()).get();
		assertThat(scrape).isEqualTo(new Scrape("ghent-1", 5, 1_700_000_000_123L, 7,
				Map.of(new Indicator(organisation, "answered"), new EventCounts(3, 1))));
	}

	@Test
	void returnsNoCountsWhenCountersAreAbsent() {
		String text = new RouterMetrics(1_000).render();
		assertThat(ScrapeReader.read("ghent-1", 5, text).get().counts()).isEmpty();
	}

	@Test
	void readsLargeCountsAndTimestamps() {
		String text = "burdocktray_objective_events_total{organisation=\"o\",objective=\"a\",result=\"good\",} 1.25E10 17\n";
		assertThat(ScrapeReader.read("ghent-1", 5, text + START_TIME_LINE).get().counts())
			.containsEntry(new Indicator("o", "a"), new EventCounts(12_500_000_000L, 0));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "\n", "<html>\n", "burdocktray_start_time_seconds 1.5E9",
			"burdocktray_start_time_seconds\n", "burdocktray_start_time_seconds NaN\n",
			"burdocktray_start_time_seconds +Inf\n",
			START_TIME_LINE + "burdocktray_objective_events_total{organisation=\"o\" 1\n",
			START_TIME_LINE + "burdocktray_objective_events_total{organisation=\"o 1\n",
			START_TIME_LINE + "burdocktray_objective_events_total{organisation=\"o\"} -1\n",
			START_TIME_LINE + "burdocktray_objective_events_total{organisation=\"o\"} many\n" })
	void rejectsIncompleteOrMalformedScrapes(String text) {
		assertThat(ScrapeReader.read("ghent-1", 5, text).isLeft()).isTrue();
	}

}
