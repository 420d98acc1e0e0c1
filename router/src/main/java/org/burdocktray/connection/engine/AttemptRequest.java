package org.burdocktray.connection.engine;

import java.util.List;

import org.burdocktray.version.bundle.Engine;

/**
 * A request to the head engine to execute an attempt of a stream. Thread safety:
 * immutable.
 *
 * @param streamId the id of the stream, unique in the fleet
 * @param attempt the number of the attempt, starting at 1 and increasing
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param priority the priority class of the organisation; 0 is the highest priority
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens to generate, including
 * {@code emittedTokens}
 * @param emittedTokens the tokens already sent to the caller
 * @param stages the engines in the order of their layers; the first engine is the head
 */
public record AttemptRequest(String streamId, int attempt, String model, String modelVersion, int priority,
		String prompt, int maxTokens, List<String> emittedTokens, List<Engine> stages) {

	public AttemptRequest {
		emittedTokens = List.copyOf(emittedTokens);
		stages = List.copyOf(stages);
	}

}
