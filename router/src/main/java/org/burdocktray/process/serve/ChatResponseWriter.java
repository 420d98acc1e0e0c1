package org.burdocktray.process.serve;

import io.vertx.core.Future;
import org.burdocktray.model.Refusal;

/**
 * Writes the response to a chat request. Thread safety: confined to the event loop of the
 * request.
 */
interface ChatResponseWriter {

	/**
	 * Writes or buffers the next token.
	 * @param text the token's text
	 * @return false when the caller reads too slowly and the stream must be cancelled
	 */
	boolean writeToken(String text);

	/**
	 * Ends a complete response.
	 * @param finishReason {@code stop} or {@code length}
	 * @param promptTokens the number of tokens in the prompt
	 * @param completionTokens the number of tokens generated
	 * @return completes when the response is written, or cannot be written
	 */
	Future<Void> complete(String finishReason, int promptTokens, int completionTokens);

	/**
	 * Ends the response with an error.
	 * @param refusal the error
	 * @param deliveredTokens the number of tokens delivered to the caller before the
	 * error
	 * @return completes when the response is written, or cannot be written
	 */
	Future<Void> fail(Refusal refusal, int deliveredTokens);

}
