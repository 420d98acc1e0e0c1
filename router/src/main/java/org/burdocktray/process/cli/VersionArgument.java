package org.burdocktray.process.cli;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Parses the version of a bundle given on the command line. Thread safety: stateless.
 */
final class VersionArgument {

	private static final Pattern VERSION = Pattern.compile("[1-9]\\d{0,14}");

	private VersionArgument() {
	}

	static OptionalLong parse(String text) {
		if (!VERSION.matcher(text).matches()) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Long.parseLong(text));
	}

	static String faultMessage(String text) {
		return "VERSION: expected a whole number of at least 1, found " + text;
	}

}
