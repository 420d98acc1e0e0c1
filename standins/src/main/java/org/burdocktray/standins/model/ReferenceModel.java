package org.burdocktray.standins.model;

import java.util.ArrayList;
import java.util.List;

/**
 * Generates complete responses without a pipeline, as expected results for pipelines. A
 * response depends only on the model, the prompt and the token limit. Thread safety:
 * immutable.
 *
 * @param identity the model
 * @param layers the number of layers
 */
public record ReferenceModel(ModelIdentity identity, int layers) {

	/**
	 * Creates a model without an adapter.
	 * @param model the name of the model
	 * @param modelVersion the version of the model
	 * @param layers the number of layers
	 */
	public ReferenceModel(String model, String modelVersion, int layers) {
		this(new ModelIdentity(model, modelVersion, ""), layers);
	}

	/**
	 * Generates a response.
	 * @param prompt the prompt, not empty
	 * @param maxTokens the max number of tokens to generate
	 * @return the response
	 */
	public ReferenceResponse generate(String prompt, int maxTokens) {
		LayerRangeState state = LayerRangeState.initial(this.identity, 0, this.layers);
		List<String> promptTokens = Tokens.split(prompt);
		long output = 0;
		for (String token : promptTokens) {
			output = state.run(Tokens.embed(token));
		}
		List<String> generated = new ArrayList<>();
		while (generated.size() < maxTokens && !Tokens.isComplete(generated)) {
			String token = Tokens.decode(output);
			generated.add(token);
			output = state.run(Tokens.embed(token));
		}
		String finishReason = Tokens.isComplete(generated) ? "stop" : "length";
		return new ReferenceResponse(List.copyOf(generated), finishReason, promptTokens.size());
	}

}
