package org.burdocktray.version.config;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/**
 * A parsed JSON value that knows its line. Thread safety: immutable.
 */
sealed interface ConfigNode {

	/** The longest excerpt of a text that a fault repeats, in characters. */
	int MAX_EXCERPT_CHARS = 60;

	int line();

	String describe();

	/**
	 * Quotes a text for a fault, on one line and cut to a bound.
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
	 * An object with its fields in file order.
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
	 * A text.
	 */
	record TextNode(int line, String value) implements ConfigNode {

		@Override
		public String describe() {
			return excerpt(this.value);
		}

	}

	/**
	 * A number with its spelling.
	 */
	record NumberNode(int line, BigDecimal value, String literal) implements ConfigNode {

		@Override
		public String describe() {
			return this.literal;
		}

	}

	/**
	 * A number whose exponent is beyond any that can be computed with.
	 */
	record HugeNumberNode(int line, String literal) implements ConfigNode {

		@Override
		public String describe() {
			return this.literal;
		}

	}

	/**
	 * A truth value.
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
