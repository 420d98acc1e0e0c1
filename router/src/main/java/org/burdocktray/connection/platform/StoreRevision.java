package org.burdocktray.connection.platform;

/**
 * A revision of the platform's store. A store that returns from a copy gives out revision
 * numbers again, in a later era; so revisions are ordered by era, then by number, and
 * numbers of different eras are never compared. Stores without eras use era 0. Thread
 * safety: immutable.
 *
 * @param era how often the store has returned from a copy, as it counts
 * @param number the revision number within the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

	/** The revision before all others. */
	public static final StoreRevision NONE = new StoreRevision(0, 0);

	/**
	 * Returns a revision of a store without eras.
	 * @param number the revision number
	 * @return the revision
	 */
	public static StoreRevision of(long number) {
		return new StoreRevision(0, number);
	}

	/**
	 * Returns whether this revision is earlier than another one.
	 * @param other the other revision
	 * @return whether it is earlier
	 */
	public boolean isBefore(StoreRevision other) {
		return compareTo(other) < 0;
	}

	/**
	 * Returns whether this revision is later than another one.
	 * @param other the other revision
	 * @return whether it is later
	 */
	public boolean isAfter(StoreRevision other) {
		return compareTo(other) > 0;
	}

	/**
	 * Returns whether changes between two revisions can be told, which takes one era.
	 * @param other the other revision
	 * @return whether both are of the same era
	 */
	public boolean isSameEra(StoreRevision other) {
		return this.era == other.era;
	}

	/**
	 * Returns the later of two revisions.
	 * @param first a revision
	 * @param second another one
	 * @return the later one
	 */
	public static StoreRevision max(StoreRevision first, StoreRevision second) {
		return first.isBefore(second) ? second : first;
	}

	@Override
	public int compareTo(StoreRevision other) {
		return (this.era != other.era) ? Long.compare(this.era, other.era) : Long.compare(this.number, other.number);
	}

	@Override
	public String toString() {
		return this.era + "/" + this.number;
	}

}
