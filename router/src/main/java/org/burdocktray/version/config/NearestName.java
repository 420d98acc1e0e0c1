package org.burdocktray.version.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/**
 * Finds the known field name that is most similar to an unknown one. Thread safety:
 * stateless.
 */
final class NearestName {

	private NearestName() {
	}

	/**
	 * Returns the known name with the smallest Levenshtein distance, ignoring case.
	 * @param unknown the unknown name in the file
	 * @param known the known names
	 * @return the nearest name, empty if its distance exceeds half of the length of the
	 * longer name
	 */
	static Optional<String> find(String unknown, Collection<String> known) {
		return known.stream()
			.min(Comparator.comparingInt((String name) -> distance(unknown, name))
				.thenComparing(Comparator.naturalOrder()))
			.filter((name) -> distance(unknown, name) <= Math.max(unknown.length(), name.length()) / 2);
	}

	private static int distance(String left, String right) {
		String from = left.toLowerCase(Locale.ROOT);
		String to = right.toLowerCase(Locale.ROOT);
		int[] previous = new int[to.length() + 1];
		for (int column = 0; column <= to.length(); column++) {
			previous[column] = column;
		}
		for (int row = 1; row <= from.length(); row++) {
			int[] current = new int[to.length() + 1];
			current[0] = row;
			for (int column = 1; column <= to.length(); column++) {
				int replaced = previous[column - 1] + ((from.charAt(row - 1) == to.charAt(column - 1)) ? 0 : 1);
				current[column] = Math.min(replaced, 1 + Math.min(previous[column], current[column - 1]));
			}
			previous = current;
		}
		return previous[to.length()];
	}

}
