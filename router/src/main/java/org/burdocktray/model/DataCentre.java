package org.burdocktray.model;

/**
 * A data centre, identified and ordered by its name. Thread safety: immutable.
 *
 * @param name the unique name
 */
public record DataCentre(String name) implements Comparable<DataCentre> {

	@Override
	public int compareTo(DataCentre other) {
		return this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
