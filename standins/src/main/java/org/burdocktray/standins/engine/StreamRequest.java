package org.burdocktray.standins.engine;

import java.util.List;

import org.burdocktray.standins.model.ModelIdentity;

/**
 * A request to the head to generate a response. Thread safety: immutable.
 *
 * @param streamId the id of the stream
 * @param attempt the number of the attempt
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param adapter the adapter, empty for none
 * @param priority the priority; steps of a higher priority run first
 * @param prompt the prompt
 * @param maxTokens the max number of tokens to generate, {@code emittedTokens} included
 * @param emittedTokens the tokens that earlier attempts delivered
 * @param stages the stages, starting with the head
 */
public record StreamRequest(String streamId, long attempt, String model, String modelVersion, String adapter,
		int priority, String prompt, int maxTokens, List<String> emittedTokens, List<Stage> stages) {

	/**
	 * Replaces missing fields with empty ones.
	 */
	public StreamRequest {
		adapter = (adapter != null) ? adapter : "";
		emittedTokens = (emittedTokens != null) ? List.copyOf(emittedTokens) : List.of();
		stages = (stages != null) ? List.copyOf(stages) : List.of();
	}

	ModelIdentity identity() {
		return new ModelIdentity(this.model, this.modelVersion, this.adapter);
	}

	StepsRequest toStepsRequest(int stageIndex, int fromPosition, List<String> activations) {
		return new StepsRequest(this.streamId, this.attempt, this.model, this.modelVersion, this.adapter, this.priority,
				this.stages, stageIndex, fromPosition, activations);
	}

}
