package org.burdocktray.process.limits;

import java.util.List;

/**
 * For how long a replica that rejects a request wants no other one of this VM. Thread
 * safety: immutable.
 */
public sealed interface RetryAfter {

	/** Values beyond this are taken for it. */
	double MAX_SECONDS = 3_600;

	/**
	 * Reads the values of a response. Of several, the longest holds.
	 * @param values the values, in seconds that may have a fraction; possibly none
	 * @return the pause; {@link Unreadable} if there are only other values, such as dates
	 * and negative numbers
	 */
	static RetryAfter parse(List<String> values) {
		double longest = -1;
		for (String value : values) {
			longest = Math.max(longest, parseSeconds(value));
		}
		if (values.isEmpty() || longest == 0) {
			return new None();
		}
		return (longest > 0) ? new Seconds(Math.min(MAX_SECONDS, longest)) : new Unreadable(String.join(",", values));
	}

	private static double parseSeconds(String value) {
		try {
			double seconds = Double.parseDouble(value.trim());
			return Double.isNaN(seconds) ? -1 : seconds;
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

	/** The replica asks for no pause. */
	record None() implements RetryAfter {

	}

	/**
	 * The replica asks for a pause.
	 *
	 * @param seconds its length, above 0
	 */
	record Seconds(double seconds) implements RetryAfter {

	}

	/**
	 * The replica says something that is no number of seconds. It is ignored.
	 *
	 * @param text what it says
	 */
	record Unreadable(String text) implements RetryAfter {

	}

}
