package org.burdocktray.standins.engine;

import java.util.List;

import org.burdocktray.standins.model.ModelIdentity;

/**
 * The activations of consecutive positions, sent from stage to stage. Thread safety:
 * immutable.
 *
 * @param streamId the id of the stream
 * @param attempt the number of the attempt
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param adapter the adapter, empty for none
 * @param priority the priority; steps of a higher priority run first
 * @param stages the stages, starting with the head
 * @param stageIndex the index of the receiving stage
 * @param fromPosition the position of the first activation
 * @param activations the activations in hexadecimal
 */
public record StepsRequest(String streamId, long attempt, String model, String modelVersion, String adapter,
		int priority, List<Stage> stages, int stageIndex, int fromPosition, List<String> activations) {

	/**
	 * Replaces missing fields with empty ones.
	 */
	public StepsRequest {
		adapter = (adapter != null) ? adapter : "";
		stages = (stages != null) ? List.copyOf(stages) : List.of();
		activations = (activations != null) ? List.copyOf(activations) : List.of();
	}

	ModelIdentity identity() {
		return new ModelIdentity(this.model, this.modelVersion, this.adapter);
	}

	boolean isWellFormed() {
		return !this.activations.isEmpty() && this.stageIndex >= 0 && this.stageIndex < this.stages.size();
	}

	Stage stage() {
		return this.stages.get(this.stageIndex);
	}

	boolean isAtLastStage() {
		return this.stageIndex == this.stages.size() - 1;
	}

	int lastPosition() {
		return this.fromPosition + this.activations.size() - 1;
	}

	StepsRequest withActivations(int newFromPosition, List<String> newActivations) {
		return new StepsRequest(this.streamId, this.attempt, this.model, this.modelVersion, this.adapter, this.priority,
				this.stages, this.stageIndex, newFromPosition, newActivations);
	}

	StepsRequest forNextStage(int newFromPosition, List<String> outputs) {
		return new StepsRequest(this.streamId, this.attempt, this.model, this.modelVersion, this.adapter, this.priority,
				this.stages, this.stageIndex + 1, newFromPosition, outputs);
	}

}
