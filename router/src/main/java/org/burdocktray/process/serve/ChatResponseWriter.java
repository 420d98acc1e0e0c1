package org.burdocktray.process.serve;

import org.burdocktray.model.Refusal;

/**
 * How a model answer reaches its caller. Thread safety: confined to the event loop of the
 * request.
 */
interface ChatResponseWriter {

	/**
	 * Takes the next token.
	 * @param text the token's text
	 * @return false when the caller is too slow and the answer must be given up
	 */
	boolean writeToken(String text);

	/**
	 * Ends the whole answer.
	 * @param finishReason {@code stop} or {@code length}
	 * @param promptTokens the number of tokens in the prompt
	 * @param completionTokens the number of tokens generated
	 */
	void complete(String finishReason, int promptTokens, int completionTokens);

	/**
	 * Ends the answer with an error.
	 * @param refusal the error
	 * @param deliveredTokens the tokens the caller has
	 */
	void fail(Refusal refusal, int deliveredTokens);

}
