package org.burdocktray.process.burn;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import io.vavr.control.Either;

/**
 * Extracts the values that the report needs from the metrics of a VM. Invariant: a
 * truncated text, or one that does not come from a router, yields no scrape. Thread
 * safety: stateless.
 */
public final class ScrapeReader {

	private static final String EVENTS_METRIC = "burdocktray_objective_events_total";

	private static final String START_TIME_METRIC = "burdocktray_start_time_seconds";

	private static final String BUNDLE_VERSION_METRIC = "burdocktray_bundle_version";

	private static final double MILLIS_PER_SECOND = 1_000;

	private ScrapeReader() {
	}

	/**
	 * Reads a scrape.
	 * @param vm the name under which the VM was scraped
	 * @param timeMillis the time of the scrape, in milliseconds since 1970
	 * @param text the metrics in the Prometheus text format
	 * @return the scrape, or an error message
	 */
	public static Either<String, Scrape> read(String vm, long timeMillis, String text) {
		if (!text.endsWith("\n")) {
			return Either.left("cut short");
		}
		Map<Indicator, EventCounts> counts = new HashMap<>();
		OptionalDouble startSeconds = OptionalDouble.empty();
		long bundleVersion = 0;
		for (String line : text.split("\n")) {
			if (!List.of(EVENTS_METRIC, START_TIME_METRIC, BUNDLE_VERSION_METRIC).contains(metricName(line))) {
				continue;
			}
			Either<String, SampleLine> sample = SampleLine.parse(line).flatMap(ScrapeReader::requireValidCount);
			if (sample.isLeft()) {
				return Either.left(sample.getLeft());
			}
			if (EVENTS_METRIC.equals(sample.get().name())) {
				addEvents(sample.get(), counts);
			}
			else if (START_TIME_METRIC.equals(sample.get().name())) {
				startSeconds = OptionalDouble.of(sample.get().value());
			}
			else {
				bundleVersion = (long) sample.get().value();
			}
		}
		if (startSeconds.isEmpty()) {
			return Either.left("no " + START_TIME_METRIC);
		}
		long startMillis = Math.round(startSeconds.getAsDouble() * MILLIS_PER_SECOND);
		return Either.right(new Scrape(vm, timeMillis, startMillis, bundleVersion, counts));
	}

	private static String metricName(String line) {
		int end = 0;
		while (end < line.length() && line.charAt(end) != '{' && line.charAt(end) != ' ') {
			end++;
		}
		return line.substring(0, end);
	}

	private static Either<String, SampleLine> requireValidCount(SampleLine sample) {
		boolean isValid = sample.value() >= 0 && !Double.isInfinite(sample.value());
		return isValid ? Either.right(sample) : Either.left(sample.name() + " is " + sample.value());
	}

	private static void addEvents(SampleLine sample, Map<Indicator, EventCounts> counts) {
		Indicator indicator = new Indicator(sample.labels().getOrDefault("organisation", ""),
				sample.labels().getOrDefault("objective", ""));
		long value = Math.round(sample.value());
		boolean isGood = "good".equals(sample.labels().get("result"));
		counts.merge(indicator, isGood ? new EventCounts(value, 0) : new EventCounts(0, value), EventCounts::plus);
	}

}
