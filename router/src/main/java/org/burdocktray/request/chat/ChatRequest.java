package org.burdocktray.request.chat;

import java.util.OptionalInt;

/**
 * A validated chat request. Thread safety: immutable.
 *
 * @param model the name of the model
 * @param prompt the text of all messages, each preceded by its role
 * @param stream whether the response is streamed token by token
 * @param maxTokens the maximum number of tokens to generate, if the caller set it
 */
public record ChatRequest(String model, String prompt, boolean stream, OptionalInt maxTokens) {

}
