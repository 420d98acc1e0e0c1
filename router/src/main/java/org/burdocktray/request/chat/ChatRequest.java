package org.burdocktray.request.chat;

import java.util.List;
import java.util.OptionalInt;

/**
 * A validated chat request. Thread safety: immutable.
 *
 * @param model the name of the model
 * @param messages the texts of all messages, each preceded by its role; the parts of the
 * prompt, of which all but the last one may be shared with other requests
 * @param stream whether the response is streamed token by token
 * @param maxTokens the maximum number of tokens to generate, if the caller set it
 */
public record ChatRequest(String model, List<String> messages, boolean stream, OptionalInt maxTokens) {

	public ChatRequest {
		messages = List.copyOf(messages);
	}

	/**
	 * Returns the prompt.
	 * @return the texts of all messages
	 */
	public String prompt() {
		return String.join("", this.messages);
	}

}
