package org.burdocktray.process.directory;

/**
 * A range of consecutive layers of a model, at least one. Thread safety: immutable.
 *
 * @param from the first layer, 0 or more
 * @param to the layer after the last one
 */
public record LayerRange(int from, int to) {

	public LayerRange {
		if (from < 0 || to <= from) {
			throw new IllegalArgumentException(
					"invalid layer range: expected 0 <= from < to, got from=" + from + " to=" + to);
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
	 * Returns whether a layer belongs to the range.
	 * @param layer the index of the layer
	 * @return true if it does
	 */
	public boolean contains(int layer) {
		return this.from <= layer && layer < this.to;
	}

}
