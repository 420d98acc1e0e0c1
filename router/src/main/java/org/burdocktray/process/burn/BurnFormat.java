package org.burdocktray.process.burn;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.OptionalDouble;

/**
 * How times, shares and rates are written for people. Thread safety: stateless.
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

	static String formatDuration(long lengthMillis) {
		if (lengthMillis < Duration.ofSeconds(1).toMillis()) {
			return lengthMillis + "ms";
		}
		Duration length = Duration.ofMillis(lengthMillis);
		StringBuilder text = new StringBuilder();
		append(text, length.toDaysPart(), "d");
		append(text, length.toHoursPart(), "h");
		append(text, length.toMinutesPart(), "m");
		append(text, length.toSecondsPart(), "s");
		if (length.toMinutes() == 0) {
			append(text, length.toMillisPart(), "ms");
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
	 * Writes a share in percent, rounded down so that a known share never looks better
	 * than it is.
	 * @param share the share
	 * @return the percentage
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
