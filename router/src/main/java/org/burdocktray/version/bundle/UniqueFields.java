package org.burdocktray.version.bundle;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.burdocktray.version.config.ConfigEntry;
import org.burdocktray.version.config.ConfigObject;

/**
 * Checks that a text field has a different value in each entry. Thread safety: stateless.
 */
final class UniqueFields {

	private UniqueFields() {
	}

	static void check(List<? extends ConfigEntry<?>> entries, String field) {
		Set<String> seen = new HashSet<>();
		for (ConfigEntry<?> entry : entries) {
			check(entry.source(), field, seen);
		}
	}

	private static void check(ConfigObject object, String field, Set<String> seen) {
		Optional<String> text = object.peekText(field);
		if (text.isPresent() && !seen.add(text.get())) {
			object.addFault(field, "a unique " + field, "the duplicate \"" + text.get() + "\"");
		}
	}

}
