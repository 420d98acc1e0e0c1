package org.burdocktray.bench.recovery;

import java.util.Arrays;

/**
 * The longest pause of each stream and the number of wrong tokens. Thread safety:
 * immutable.
 *
 * @param sortedPauseSeconds the longest pause between two tokens of each stream,
 * ascending
 * @param wrongTokens the number of repeated, changed or missing tokens
 */
record StreamPauses(double[] sortedPauseSeconds, int wrongTokens) {

	StreamPauses {
		sortedPauseSeconds = sortedPauseSeconds.clone();
		Arrays.sort(sortedPauseSeconds);
	}

	double quantile(double fraction) {
		return this.sortedPauseSeconds[(int) Math.ceil(fraction * this.sortedPauseSeconds.length) - 1];
	}

}
