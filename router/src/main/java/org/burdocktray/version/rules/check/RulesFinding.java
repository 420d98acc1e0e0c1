package org.burdocktray.version.rules.check;

/**
 * Something that is wrong with rules. Invariant: contains no key. Thread safety:
 * immutable.
 *
 * @param severity how wrong it is
 * @param line the line number in the file, starting at 1
 * @param field the path of the field in the file
 * @param message what is wrong, and its effect
 */
public record RulesFinding(Severity severity, int line, String field, String message) {

	static RulesFinding error(RulesPlace place, String message) {
		return new RulesFinding(Severity.ERROR, place.line(), place.field(), message);
	}

	static RulesFinding warning(RulesPlace place, String message) {
		return new RulesFinding(Severity.WARNING, place.line(), place.field(), message);
	}

	/**
	 * How wrong something is.
	 */
	public enum Severity {

		/** Gateways cannot use the rules, or not as they are meant. */
		ERROR,

		/** Gateways can use the rules, but a part of them has no effect or little use. */
		WARNING

	}

}
