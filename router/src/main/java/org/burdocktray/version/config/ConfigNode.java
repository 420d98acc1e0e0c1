package org.burdocktray.version.config;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/**
 * A parsed JSON value with its line number. Thread safety: immutable.
 */
sealed interface ConfigNode {

	/** The maximum length of a text excerpt in a fault, in characters. */
	int MAX_EXCERPT_CHARS = 60;

	int line();

	String describe();

	/**
	 * Quotes a text for use in a fault. Control characters are replaced by {@code ?}, and
	 * a text longer than {@link #MAX_EXCERPT_CHARS} is truncated.
	 * @param text the text
	 * @return the quoted excerpt
	 */
	static String excerpt(String text) {
		String oneLine = text.replaceAll("\\p{Cntrl}", "?");
		if (oneLine.length() <= MAX_EXCERPT_CHARS) {
			return "\"" + oneLine + "\"";
		}
		return "\"" + oneLine.substring(0, MAX_EXCERPT_CHARS) + "…\"";
	}

	/**
	 * An object. The fields are in file order.
	 */
	record ObjectNode(int line, Map<String, ConfigNode> fields) implements ConfigNode {

		@Override
		public String describe() {
			return "an object";
		}

	}

	/**
	 * A list.
	 */
	record ListNode(int line, List<ConfigNode> items) implements ConfigNode {

		@Override
		public String describe() {
			return "a list";
		}

	}

	/**
	 * A string.
	 */
	record TextNode(int line, String value) implements ConfigNode {

		@Override
		public String describe() {
			return excerpt(this.value);
		}

	}

	/**
	 * A number with its literal as written in the file.
	 */
	record NumberNode(int line, BigDecimal value, String literal) implements ConfigNode {

		@Override
		public String describe() {
			return this.literal;
		}

	}

	/**
	 * A number whose exponent exceeds the range of {@link BigDecimal}.
	 */
	record HugeNumberNode(int line, String literal) implements ConfigNode {

		@Override
		public String describe() {
			return this.literal;
		}

	}

	/**
	 * A boolean.
	 */
	record BooleanNode(int line, boolean value) implements ConfigNode {

		@Override
		public String describe() {
			return String.valueOf(this.value);
		}

	}

	/**
	 * The literal {@code null}.
	 */
	record NullNode(int line) implements ConfigNode {

		@Override
		public String describe() {
			return "null";
		}

	}

}
