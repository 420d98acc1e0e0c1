package org.burdocktray.standins.model;

import java.util.List;

/**
 * The response that a correct pipeline generates. Thread safety: immutable.
 *
 * @param tokens the generated tokens
 * @param finishReason {@code stop} or {@code length}
 * @param promptTokens the number of tokens of the prompt
 */
public record ReferenceResponse(List<String> tokens, String finishReason, int promptTokens) {

	/**
	 * Returns the concatenated tokens.
	 * @return the text of the response
	 */
	public String text() {
		return String.join("", this.tokens);
	}

}
