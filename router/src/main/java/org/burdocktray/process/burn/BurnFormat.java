package org.burdocktray.process.burn;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.OptionalDouble;

/**
 * Formats times, durations, burn rates and shares for readers of the reports. Thread
 * safety: stateless.
 */
final class BurnFormat {

	static final String NOT_ENOUGH_DATA = "not enough data";

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("uuuu-MM-dd HH:mm:ss'Z'")
		.withZone(ZoneOffset.UTC);

	private BurnFormat() {
	}

	static String formatTime(long timeMillis) {
		return TIME.format(Instant.ofEpochMilli(timeMillis));
	}

	static String formatDuration(long durationMillis) {
		if (durationMillis < Duration.ofSeconds(1).toMillis()) {
			return durationMillis + "ms";
		}
		Duration duration = Duration.ofMillis(durationMillis);
		StringBuilder text = new StringBuilder();
		append(text, duration.toDaysPart(), "d");
		append(text, duration.toHoursPart(), "h");
		append(text, duration.toMinutesPart(), "m");
		append(text, duration.toSecondsPart(), "s");
		if (duration.toMinutes() == 0) {
			append(text, duration.toMillisPart(), "ms");
		}
		return text.toString();
	}

	static String formatRate(BurnRate rate) {
		return switch (rate.state()) {
			case FIGURE -> formatDecimal(rate.value().getAsDouble());
			case NO_EVENTS -> "no events";
			case NOT_ENOUGH_DATA -> NOT_ENOUGH_DATA;
		};
	}

	static String formatDecimal(double value) {
		return String.format(Locale.ROOT, "%.2f", value);
	}

	/**
	 * Formats a share as a percentage. The percentage is rounded down, so that coverage
	 * and remaining budget never look better than they are.
	 * @param share the share, 1 for 100 %
	 * @return the percentage with one decimal and a percent sign
	 */
	static String formatPercent(double share) {
		return String.format(Locale.ROOT, "%.1f%%", Math.floor(share * 1000 + 1e-9) / 10);
	}

	static String formatPercent(OptionalDouble share) {
		return share.isPresent() ? formatPercent(share.getAsDouble()) : NOT_ENOUGH_DATA;
	}

	static String formatSummary(BurnReport report) {
		return report.count(BurnAlert.State.BURNING) + " alert condition(s) burn, "
				+ report.count(BurnAlert.State.QUIET) + " quiet, " + report.count(BurnAlert.State.UNDECIDED)
				+ " without enough data";
	}

	private static void append(StringBuilder text, long amount, String unit) {
		if (amount > 0) {
			text.append(amount).append(unit);
		}
	}

}
