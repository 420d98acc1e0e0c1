package org.burdocktray.process.burn;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.burdocktray.version.bundle.Objective;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Reports whose names contain markup, quotes, format specifiers and control characters.
 */
class HtmlBurnReportWriterTests {

	private static final String HOSTILE = "<script>alert('1')</script>\" onload=\"x & %d\u001b[2J";

	@Test
	void escapesNames() {
		String html = new HtmlBurnReportWriter().write(report());
		assertThat(html).doesNotContain("<script").doesNotContain("\" onload=");
		assertThat(html).contains("&lt;script&gt;alert(&#39;1&#39;)&lt;/script&gt;&quot; onload=&quot;x &amp; %d");
	}

	@Test
	void containsNoExternalResourceOrScript() {
		assertThat(new HtmlBurnReportWriter().write(report())).doesNotContain("http", "url(", "src=", "href=",
				"@import");
	}

	@Test
	void drawsBurnRatesAsPolyline() {
		assertThat(new HtmlBurnReportWriter().write(report())).contains("<polyline class=\"window0\"");
	}

	@Test
	void textReportContainsNoControlCharacters() {
		assertThat(new TextBurnReportWriter().write(report())).doesNotContain("\u001b").contains("<script>");
	}

	private static BurnReport report() {
		Objective objective = new Objective(HOSTILE, Objective.Kind.AVAILABILITY, 0.9, 0, 720);
		List<Scrape> scrapes = LongStream.rangeClosed(0, 360)
			.mapToObj((minute) -> new Scrape(HOSTILE, TimeUnit.MINUTES.toMillis(minute), 0, 1,
					Map.of(new Indicator(HOSTILE, HOSTILE), new EventCounts(minute, minute))))
			.toList();
		FleetCounters fleet = new FleetCounters(List.of("absent" + HOSTILE), List.of(), scrapes);
		return new BurnAssessment(1, List.of(objective)).assess(new FleetCounters(List.of(), List.of(), scrapes),
				TimeUnit.MINUTES.toMillis(360), new BurnNoteCollector(2, Set.of()).collect(fleet, 0));
	}

}
