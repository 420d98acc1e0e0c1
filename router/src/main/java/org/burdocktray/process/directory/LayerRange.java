package org.burdocktray.process.directory;

/**
 * Consecutive layers of a model. Invariant: it holds at least one layer. Thread safety:
 * immutable.
 *
 * @param from the first layer
 * @param to the layer behind the last
 */
public record LayerRange(int from, int to) {

	public LayerRange {
		if (from < 0 || to <= from) {
			throw new IllegalArgumentException("no layers from " + from + " to " + to);
		}
	}

	/**
	 * Returns the number of layers.
	 * @return 1 or more
	 */
	public int size() {
		return this.to - this.from;
	}

	/**
	 * Tells whether a layer belongs to the range.
	 * @param layer the layer
	 * @return whether it does
	 */
	public boolean contains(int layer) {
		return this.from <= layer && layer < this.to;
	}

}
