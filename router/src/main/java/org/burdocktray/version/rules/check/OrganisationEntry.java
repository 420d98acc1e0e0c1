package org.burdocktray.version.rules.check;

import java.util.List;

/**
 * An organisation in a file of rules. Keys are represented by digests, so that they can
 * be compared but not printed. Thread safety: immutable.
 *
 * @param name its name
 * @param priority its priority, 0 is the highest
 * @param keyDigests the digests of its keys in the order of the file
 */
public record OrganisationEntry(String name, int priority, List<String> keyDigests) {

	public OrganisationEntry {
		keyDigests = List.copyOf(keyDigests);
	}

}
