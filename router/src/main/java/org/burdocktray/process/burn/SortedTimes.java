package org.burdocktray.process.burn;

import java.util.List;

/**
 * Performs binary searches in ascending lists of times. Thread safety: stateless.
 */
final class SortedTimes {

	private SortedTimes() {
	}

	static int indexOfFirstAtLeast(List<Long> sortedTimesMillis, long timeMillis) {
		int low = 0;
		int high = sortedTimesMillis.size();
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (sortedTimesMillis.get(middle) < timeMillis) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

}
