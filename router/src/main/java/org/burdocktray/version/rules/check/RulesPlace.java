package org.burdocktray.version.rules.check;

/**
 * A place in a file of rules. Thread safety: immutable.
 *
 * @param line the line number, starting at 1
 * @param field the path of the field, {@code $} for the whole file
 */
public record RulesPlace(int line, String field) {

	/** The whole file. */
	public static final RulesPlace WHOLE_FILE = new RulesPlace(1, "$");

}
