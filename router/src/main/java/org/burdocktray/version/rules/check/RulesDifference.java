package org.burdocktray.version.rules.check;

/**
 * A difference between two versions of the rules. Invariant: contains no key. Thread
 * safety: immutable.
 *
 * @param subject {@code route}, {@code service} or {@code organisation}
 * @param name the name of the subject
 * @param change what differs
 * @param effect what callers notice, empty if nothing is known
 */
public record RulesDifference(String subject, String name, String change, String effect) {

	@Override
	public String toString() {
		String line = this.subject + " " + this.name + ": " + this.change;
		return this.effect.isEmpty() ? line : line + "; " + this.effect;
	}

}
