package org.burdocktray.process.limits;

/**
 * What a response says of the number of requests that its replica takes. Thread safety:
 * immutable.
 */
public sealed interface RequestLimit {

	/**
	 * Reads a limit.
	 * @param text the text, null for none
	 * @return the limit
	 */
	static RequestLimit parse(String text) {
		if (text == null) {
			return new None();
		}
		try {
			double requestsPerSecond = Double.parseDouble(text.trim());
			boolean isLimit = Double.isFinite(requestsPerSecond) && requestsPerSecond > 0;
			return isLimit ? new PerSecond(requestsPerSecond) : new Unreadable(text);
		}
		catch (NumberFormatException ex) {
			return new Unreadable(text);
		}
	}

	/** The replica names no limit. */
	record None() implements RequestLimit {

	}

	/**
	 * The replica names a limit.
	 *
	 * @param requestsPerSecond the requests that it takes from all VMs together, above 0
	 */
	record PerSecond(double requestsPerSecond) implements RequestLimit {

	}

	/**
	 * The replica names something that is no limit. What it said before still holds.
	 *
	 * @param text what it names
	 */
	record Unreadable(String text) implements RequestLimit {

	}

}
