package org.burdocktray.request.path;

/**
 * What a request needs of the engines on its path. Thread safety: immutable.
 *
 * @param promptTokens the tokens to read
 * @param answerTokens the tokens that are expected to be written
 * @param kvShare the share of an engine's KV cache that may be filled, 0 to 1
 */
public record PathDemand(int promptTokens, int answerTokens, double kvShare) {

	/**
	 * Returns the tokens that the request keeps in the KV cache at its end.
	 * @return the number of tokens
	 */
	public int tokens() {
		return this.promptTokens + this.answerTokens;
	}

}
