package org.burdocktray.version.config;

/**
 * A fault in a configuration file. Invariant: {@link #toString()} returns a single line.
 * Thread safety: immutable.
 *
 * @param file the file name as given by the operator
 * @param line the line number, starting at 1
 * @param fieldPath the path of the field, {@code $} for the whole file
 * @param expected a description of the valid values
 * @param found a description of what the file contains
 */
public record ConfigFault(String file, int line, String fieldPath, String expected, String found) {

	@Override
	public String toString() {
		return this.file + ":" + this.line + ": " + this.fieldPath + ": expected " + this.expected + ", found "
				+ this.found;
	}

}
