package org.burdocktray.standins.engine;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * A position that ran through the engine's layers. Thread safety: immutable.
 *
 * @param streamId the id of the stream
 * @param attempt the number of the attempt
 * @param position the position in the stream, counted from the first token of the prompt
 * @param fromLayer the first layer
 * @param toLayer the end of the layer range, exclusive
 * @param token the token that the last stage generated at this position, otherwise empty
 */
public record ExecutedStep(String streamId, long attempt, int position, int fromLayer, int toLayer,
		@JsonInclude(JsonInclude.Include.NON_EMPTY) String token) {
}
