package org.burdocktray.version.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A random choice between items in proportion to their weights. Only items with a
 * positive weight are included. Thread safety: immutable.
 *
 * @param <T> the type of the items
 */
public final class WeightedChoice<T> {

	private final List<T> items;

	private final double[] cumulativeWeights;

	private WeightedChoice(List<T> items, double[] cumulativeWeights) {
		this.items = items;
		this.cumulativeWeights = cumulativeWeights;
	}

	/**
	 * Creates a choice.
	 * @param candidates the items
	 * @param weight the weight of an item; items with a weight of 0 or less are excluded
	 * @param <T> the type of the items
	 * @return the choice
	 */
	public static <T> WeightedChoice<T> of(List<T> candidates, ToDoubleFunction<T> weight) {
		List<T> items = new ArrayList<>();
		double[] cumulative = new double[candidates.size()];
		double sum = 0;
		for (T candidate : candidates) {
			double itemWeight = weight.applyAsDouble(candidate);
			if (itemWeight > 0) {
				sum += itemWeight;
				cumulative[items.size()] = sum;
				items.add(candidate);
			}
		}
		return new WeightedChoice<>(List.copyOf(items), Arrays.copyOf(cumulative, items.size()));
	}

	/**
	 * Returns whether there is no item to choose.
	 * @return true if no item has a positive weight
	 */
	public boolean isEmpty() {
		return this.items.isEmpty();
	}

	/**
	 * Returns the items that can be chosen.
	 * @return the items with a positive weight, in the order of the candidates
	 */
	public List<T> items() {
		return this.items;
	}

	/**
	 * Returns the probability of an item.
	 * @param index the index into {@link #items()}
	 * @return a probability above 0 and at most 1
	 */
	double probability(int index) {
		double previous = (index > 0) ? this.cumulativeWeights[index - 1] : 0;
		return (this.cumulativeWeights[index] - previous) / this.cumulativeWeights[this.items.size() - 1];
	}

	/**
	 * Picks an item.
	 * @param unit a number from 0 (inclusive) to 1 (exclusive); uniformly distributed
	 * numbers pick items in proportion to their weights
	 * @return the item
	 * @throws IllegalStateException if no item has a positive weight
	 */
	public T pick(double unit) {
		if (isEmpty()) {
			throw new IllegalStateException("Cannot pick an item: no item has a positive weight");
		}
		int last = this.items.size() - 1;
		double position = unit * this.cumulativeWeights[last];
		int low = 0;
		int high = last;
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (this.cumulativeWeights[middle] > position) {
				high = middle;
			}
			else {
				low = middle + 1;
			}
		}
		return this.items.get(low);
	}

}
