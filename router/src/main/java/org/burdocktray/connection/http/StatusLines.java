package org.burdocktray.connection.http;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the beginnings of status lines in text. Thread safety: stateless.
 */
final class StatusLines {

	/** As wide as what the codec takes for the beginning of a status line. */
	private static final Pattern STATUS_LINE = Pattern.compile("http/\\d++\\.\\d++\\s++0*+\\d{3}(?=\\s|$)",
			Pattern.CASE_INSENSITIVE);

	private StatusLines() {
	}

	/**
	 * Finds the first status line.
	 * @param text the text
	 * @return its version and status, empty if there is none
	 */
	static Optional<String> findFirst(String text) {
		if (text.indexOf('/') < 0) {
			return Optional.empty();
		}
		Matcher matcher = STATUS_LINE.matcher(text);
		return matcher.find() ? Optional.of(matcher.group()) : Optional.empty();
	}

	/**
	 * Counts the status lines that begin in the first part of a text.
	 * @param text the text
	 * @param length the length of that part
	 * @return their number
	 */
	static long countBefore(String text, int length) {
		return STATUS_LINE.matcher(text).results().filter((found) -> found.start() < length).count();
	}

}
