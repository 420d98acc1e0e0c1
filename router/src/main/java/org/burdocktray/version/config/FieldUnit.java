package org.burdocktray.version.config;

import java.util.Arrays;

/**
 * The units that the names of fields end with. Thread safety: immutable.
 */
enum FieldUnit {

	BYTES_PER_SECOND("ytesPerSecond", "bytes per second"),

	TOKENS_PER_SECOND("okensPerSecond", "tokens per second"),

	REQUESTS_PER_SECOND("equestsPerSecond", "requests per second"),

	MILLISECONDS("Millis", "milliseconds"),

	MICROSECONDS("Micros", "microseconds"),

	HOURS("Hours", "hours"),

	BYTES("Bytes", "bytes");

	private final String suffix;

	private final String description;

	FieldUnit(String suffix, String words) {
		this.suffix = suffix;
		this.description = words;
	}

	/**
	 * Returns the unit of a field, to be set behind the kind of number.
	 * @param field the name of the field
	 * @return {@code " of milliseconds"} and the like, or an empty text
	 */
	static String of(String field) {
		return Arrays.stream(values())
			.filter((unit) -> field.endsWith(unit.suffix))
			.findFirst()
			.map((unit) -> " of " + unit.description)
			.orElse("");
	}

}
