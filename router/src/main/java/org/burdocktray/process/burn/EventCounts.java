package org.burdocktray.process.burn;

/**
 * The numbers of good and bad events. Thread safety: immutable.
 *
 * @param good the number of good events
 * @param bad the number of bad events
 */
public record EventCounts(long good, long bad) {

	/** No events. */
	public static final EventCounts NONE = new EventCounts(0, 0);

	/**
	 * Returns the number of all events.
	 * @return the sum of good and bad events
	 */
	public long total() {
		return this.good + this.bad;
	}

	EventCounts plus(EventCounts other) {
		return new EventCounts(this.good + other.good, this.bad + other.bad);
	}

	EventCounts minus(EventCounts other) {
		return new EventCounts(this.good - other.good, this.bad - other.bad);
	}

	boolean isAnyCountBelow(EventCounts other) {
		return this.good < other.good || this.bad < other.bad;
	}

}
