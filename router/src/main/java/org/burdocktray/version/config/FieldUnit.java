package org.burdocktray.version.config;

import java.util.Arrays;

/**
 * A unit of measurement, recognized by the suffix of a field name. Thread safety:
 * immutable.
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

	FieldUnit(String suffix, String description) {
		this.suffix = suffix;
		this.description = description;
	}

	/**
	 * Returns the unit of a field in the form that follows "a number" in a fault.
	 * @param field the name of the field
	 * @return for example {@code " of milliseconds"}, empty if the name has no unit
	 */
	static String of(String field) {
		return Arrays.stream(values())
			.filter((unit) -> field.endsWith(unit.suffix))
			.findFirst()
			.map((unit) -> " of " + unit.description)
			.orElse("");
	}

}
