package org.burdocktray.connection.engine;

import java.util.List;

import org.burdocktray.version.bundle.Engine;

/**
 * One attempt of a stream, as the head engine is asked for it. Thread safety: immutable.
 *
 * @param streamId the id of the stream, unique over the fleet
 * @param attempt the number of the attempt, from 1, growing
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param priority the class of the organisation; 0 goes first
 * @param prompt the prompt
 * @param maxTokens the most tokens to generate, those of {@code emittedTokens} included
 * @param emittedTokens the tokens that the caller has already
 * @param stages the engines in the order of their layers; the first one is the head
 */
public record AttemptRequest(String streamId, int attempt, String model, String modelVersion, int priority,
		String prompt, int maxTokens, List<String> emittedTokens, List<Engine> stages) {

	public AttemptRequest {
		emittedTokens = List.copyOf(emittedTokens);
		stages = List.copyOf(stages);
	}

}
