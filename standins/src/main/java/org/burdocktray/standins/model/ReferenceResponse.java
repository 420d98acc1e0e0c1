package org.burdocktray.standins.model;

import java.util.List;

/**
 * The answer that a correct pipeline gives. Thread safety: immutable.
 *
 * @param tokens the generated tokens
 * @param finishReason {@code stop} or {@code length}
 * @param promptTokens the number of tokens of the prompt
 */
public record ReferenceResponse(List<String> tokens, String finishReason, int promptTokens) {

	/**
	 * Joins the tokens.
	 * @return the text of the answer
	 */
	public String text() {
		return String.join("", this.tokens);
	}

}
