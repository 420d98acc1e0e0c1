package org.burdocktray.request.path;

/**
 * What a request needs of the engines on its path. Thread safety: immutable.
 *
 * @param promptTokens the tokens to read
 * @param outputTokens the tokens that are expected to be written
 * @param maxKvFraction the share of an engine's KV cache that may be filled, 0 to 1
 */
public record PathDemand(int promptTokens, int outputTokens, double maxKvFraction) {

	/**
	 * Returns the tokens that the request keeps in the KV cache at its end.
	 * @return the number of tokens
	 */
	public int totalTokens() {
		return this.promptTokens + this.outputTokens;
	}

}
