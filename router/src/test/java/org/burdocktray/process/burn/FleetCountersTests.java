package org.burdocktray.process.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Coverage of a window from 100 to 200 when VM a is scraped throughout and VM b is not.
 */
class FleetCountersTests {

	private static final TimeSpan WINDOW = new TimeSpan(100, 200);

	@ParameterizedTest(name = "{0}")
	@CsvSource({ "never scraped,                            0,   0,   0, '',  0.5",
			"scraped throughout,                            0,   100, 200, '', 1",
			"disappeared,                                   0,   100, 150, '', 0.75",
			"disappeared and retired,                       0,   100, 150, 'b', 1",
			"disappeared before the window,                 0,   20,  50,  '', 0.5",
			"retired before the window,                     0,   20,  50,  'b', 1",
			"started within the window,                     150, 160, 200, '', 1",
			"started before its first scrape,               0,   160, 200, '', 0.7" })
	void expectsVmsFromStartUntilRetirement(String scenario, long startMillis, long firstMillis, long lastMillis,
			String retired, double coverage) {
		List<Scrape> scrapes = new ArrayList<>(List.of(scrape("a", 10, 0), scrape("a", 100, 0), scrape("a", 200, 0)));
		if (lastMillis > 0) {
			scrapes.add(scrape("b", firstMillis, startMillis));
			scrapes.add(scrape("b", lastMillis, startMillis));
		}
		FleetCounters fleet = new FleetCounters(List.of("a", "b"), List.of(retired), scrapes);
		assertThat(fleet.coverage(WINDOW)).isEqualTo(coverage);
	}

	private static Scrape scrape(String vm, long timeMillis, long startMillis) {
		return new Scrape(vm, timeMillis, startMillis, 1, Map.of());
	}

}
