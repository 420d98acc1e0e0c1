package org.burdocktray.request.path;

/**
 * The resources that a request needs at the engines of its path. Thread safety:
 * immutable.
 *
 * @param promptTokens the number of tokens in the prompt
 * @param outputTokens the expected number of generated tokens
 * @param maxKvFraction the fraction of an engine's KV cache that may be used, 0 to 1
 */
public record PathDemand(int promptTokens, int outputTokens, double maxKvFraction) {

	/**
	 * Returns how many tokens the request holds in the KV cache when it ends.
	 * @return the number of prompt and output tokens
	 */
	public int totalTokens() {
		return this.promptTokens + this.outputTokens;
	}

}
