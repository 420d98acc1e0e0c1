package org.burdocktray.version.routing;

import java.util.Map;

/**
 * A flow of tokens through the layers of one model. Thread safety: immutable; the array
 * is not changed after construction.
 *
 * @param totalMilliTokens the flow out of the last layer, in thousandths of tokens per
 * second
 * @param groupMilliTokens the flow through each group, by group index, in the same unit
 * @param linkMilliTokens the flow of each use of a link, in the same unit
 */
record LayerFlow(long totalMilliTokens, long[] groupMilliTokens, Map<LinkUse, Long> linkMilliTokens) {

	/** Thousandths of a token per token. */
	static final double MILLI = 1000;

	LayerFlow {
		linkMilliTokens = Map.copyOf(linkMilliTokens);
	}

	double tokensPerSecond() {
		return this.totalMilliTokens / MILLI;
	}

}
