package org.burdocktray.connection.engine;

import java.util.OptionalLong;

/**
 * An event of an attempt of a stream, reported by the head engine. Thread safety:
 * immutable.
 */
public sealed interface EngineEvent {

	/**
	 * Returns the number of the attempt to which the event belongs.
	 * @return the number, starting at 1
	 */
	int attempt();

	/**
	 * Returns whether the attempt may have reached the engines, so that they no longer
	 * run an earlier one.
	 * @return false if the attempt was refused or not sent
	 */
	default boolean hasReachedEngines() {
		return true;
	}

	/**
	 * A token was generated.
	 *
	 * @param attempt the number of the attempt
	 * @param position the index of the token among the generated tokens, starting at 0
	 * @param text the token's text
	 */
	record Token(int attempt, int position, String text) implements EngineEvent {

	}

	/**
	 * The response is complete.
	 *
	 * @param attempt the number of the attempt
	 * @param finishReason {@code stop} or {@code length}
	 * @param promptTokens the number of tokens in the prompt
	 */
	record Done(int attempt, String finishReason, int promptTokens) implements EngineEvent {

	}

	/**
	 * A stage failed. The other stages keep their state.
	 *
	 * @param attempt the number of the attempt
	 * @param stageIndex the index of the failed stage in the stages of the request
	 * @param crashed whether the connection to the stage was lost during a step
	 * @param detail a description of the failure
	 */
	record StageFailed(int attempt, int stageIndex, boolean crashed, String detail) implements EngineEvent {

	}

	/**
	 * The head engine refused the attempt before executing any part of it.
	 *
	 * @param attempt the number of the attempt
	 * @param httpStatus the HTTP status of the refusal
	 * @param retryAfterMillis the time after which to retry, empty if the engine sent
	 * none
	 */
	record Refused(int attempt, int httpStatus, OptionalLong retryAfterMillis) implements EngineEvent {

		@Override
		public boolean hasReachedEngines() {
			return false;
		}

	}

	/**
	 * The connection to the head engine could not be established, was lost, or carried an
	 * invalid response.
	 *
	 * @param attempt the number of the attempt
	 * @param sent whether the request may have reached the engine
	 * @param detail a description of the failure
	 */
	record HeadFailed(int attempt, boolean sent, String detail) implements EngineEvent {

		@Override
		public boolean hasReachedEngines() {
			return this.sent;
		}

	}

}
