package org.burdocktray.version.rules;

import java.util.Map;
import java.util.Optional;

/**
 * The memory and speed of the engines of a service. Times apply to an engine with factor
 * 1 that holds all layers; an engine with fewer layers takes the proportional share.
 * Thread safety: immutable.
 *
 * @param model the name of the model
 * @param layers the number of layers, 1 or more
 * @param layerMegabytes the size of the weights of one layer
 * @param kvBytesPerToken the size of the KV cache of one token over all layers
 * @param stepMillis the base duration of a decoding step
 * @param sequenceMillis the additional duration of a step per sequence
 * @param contextMillis the additional duration of a step per 1,000 tokens of context
 * @param prefillTokensPerSecond the prompt tokens processed per second
 * @param maxSequences the maximum number of requests for which an engine is the first of
 * the path
 * @param typicalPromptTokens the mean length of a prompt
 * @param typicalOutputTokens the mean length of a response
 * @param reportLagMillis the age of a load report when it is received
 * @param kinds the accelerator kinds by name
 * @param stepsPerPass the decoding steps that an engine executes in one pass over all
 * layers, 1 or more
 * @param promptTokensPerPass the prompt tokens of waiting requests that one pass reads at
 * most, 1 or more
 */
public record EngineProfile(String model, int layers, double layerMegabytes, double kvBytesPerToken, double stepMillis,
		double sequenceMillis, double contextMillis, double prefillTokensPerSecond, int maxSequences,
		int typicalPromptTokens, int typicalOutputTokens, long reportLagMillis, Map<String, AcceleratorKind> kinds,
		int stepsPerPass, int promptTokensPerPass) {

	/** The decoding steps of a pass if the configuration does not state them. */
	public static final int DEFAULT_STEPS_PER_PASS = 1;

	/** The prompt tokens of a pass if the configuration does not state them. */
	public static final int DEFAULT_PROMPT_TOKENS_PER_PASS = 512;

	private static final double BYTES_PER_MEGABYTE = 1e6;

	public EngineProfile {
		kinds = Map.copyOf(kinds);
		stepsPerPass = Math.max(1, stepsPerPass);
		promptTokensPerPass = Math.max(1, promptTokensPerPass);
	}

	/**
	 * Creates a profile with the default passes.
	 * @param model the name of the model
	 * @param layers the number of layers, 1 or more
	 * @param layerMegabytes the size of the weights of one layer
	 * @param kvBytesPerToken the size of the KV cache of one token over all layers
	 * @param stepMillis the base duration of a decoding step
	 * @param sequenceMillis the additional duration of a step per sequence
	 * @param contextMillis the additional duration of a step per 1,000 tokens of context
	 * @param prefillTokensPerSecond the prompt tokens processed per second
	 * @param maxSequences the maximum number of requests for which an engine is the first
	 * of the path
	 * @param typicalPromptTokens the mean length of a prompt
	 * @param typicalOutputTokens the mean length of a response
	 * @param reportLagMillis the age of a load report when it is received
	 * @param kinds the accelerator kinds by name
	 */
	public EngineProfile(String model, int layers, double layerMegabytes, double kvBytesPerToken, double stepMillis,
			double sequenceMillis, double contextMillis, double prefillTokensPerSecond, int maxSequences,
			int typicalPromptTokens, int typicalOutputTokens, long reportLagMillis,
			Map<String, AcceleratorKind> kinds) {
		this(model, layers, layerMegabytes, kvBytesPerToken, stepMillis, sequenceMillis, contextMillis,
				prefillTokensPerSecond, maxSequences, typicalPromptTokens, typicalOutputTokens, reportLagMillis, kinds,
				DEFAULT_STEPS_PER_PASS, DEFAULT_PROMPT_TOKENS_PER_PASS);
	}

	/**
	 * Finds an accelerator kind.
	 * @param name the name of the kind
	 * @return the kind, empty if the profile does not list it
	 */
	public Optional<AcceleratorKind> kind(String name) {
		return Optional.ofNullable(this.kinds.get(name));
	}

	/**
	 * Returns the memory for the KV cache of one token in one layer.
	 * @return megabytes
	 */
	public double kvMegabytesPerTokenLayer() {
		return this.kvBytesPerToken / this.layers / BYTES_PER_MEGABYTE;
	}

	/**
	 * Returns the KV cache that fits into an engine's memory beside its weights.
	 * @param kind the accelerator kind of the engine
	 * @param heldLayers the number of layers whose weights it holds
	 * @return the capacity in tokens times layers, 0 or more
	 */
	public double kvTokenLayers(AcceleratorKind kind, int heldLayers) {
		double freeMegabytes = kind.memoryMegabytes() - heldLayers * this.layerMegabytes;
		return Math.max(0, freeMegabytes / kvMegabytesPerTokenLayer());
	}

	/**
	 * Returns how many layers fit into an engine's memory together with the KV cache of a
	 * number of tokens.
	 * @param kind the accelerator kind of the engine
	 * @param tokens the cached tokens, each of them in all layers of the engine
	 * @return the number of layers, at most that of the model
	 */
	public int layersThatFit(AcceleratorKind kind, double tokens) {
		double megabytesPerLayer = this.layerMegabytes + tokens * kvMegabytesPerTokenLayer();
		return (int) Math.min(this.layers, Math.floor(kind.memoryMegabytes() / megabytesPerLayer));
	}

	/**
	 * Returns the mean number of cached tokens of a request over its duration.
	 * @return tokens, at least 1
	 */
	public double typicalRequestTokens() {
		return Math.max(1, this.typicalPromptTokens + this.typicalOutputTokens / 2.0);
	}

}
