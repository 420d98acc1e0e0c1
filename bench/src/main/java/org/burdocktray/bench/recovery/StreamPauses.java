package org.burdocktray.bench.recovery;

import java.util.Arrays;

/**
 * The longest pause of each stream and the tokens that came wrongly. Thread safety:
 * immutable.
 *
 * @param sortedPauseSeconds the longest pause between two tokens of each stream,
 * ascending
 * @param wrongTokens the tokens repeated, changed or missing
 */
record StreamPauses(double[] sortedPauseSeconds, int wrongTokens) {

	StreamPauses {
		sortedPauseSeconds = sortedPauseSeconds.clone();
		Arrays.sort(sortedPauseSeconds);
	}

	double quantile(double share) {
		return this.sortedPauseSeconds[(int) Math.ceil(share * this.sortedPauseSeconds.length) - 1];
	}

}
