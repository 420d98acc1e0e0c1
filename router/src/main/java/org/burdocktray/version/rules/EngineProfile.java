package org.burdocktray.version.rules;

import java.util.Map;
import java.util.Optional;

/**
 * How the engines of a service behave. Times are those of an engine of factor 1 that
 * holds all layers; an engine with some of them takes that share. Thread safety:
 * immutable.
 *
 * @param model the model's name
 * @param layers the number of layers, 1 or more
 * @param layerMegabytes the weights of one layer
 * @param kvBytesPerToken the KV cache of one token over all layers
 * @param stepMillis one decoding step
 * @param sequenceMillis what each sequence adds to a step
 * @param contextMillis what 1,000 tokens of context add to a step
 * @param prefillTokensPerSecond prompt tokens read in a second
 * @param maxSequences the requests an engine takes on as the first of a path
 * @param typicalPromptTokens the mean length of a prompt
 * @param typicalOutputTokens the mean length of an answer
 * @param reportLagMillis how old a load report is when it is read
 * @param kinds the accelerators by name
 */
public record EngineProfile(String model, int layers, double layerMegabytes, double kvBytesPerToken, double stepMillis,
		double sequenceMillis, double contextMillis, double prefillTokensPerSecond, int maxSequences,
		int typicalPromptTokens, int typicalOutputTokens, long reportLagMillis, Map<String, AcceleratorKind> kinds) {

	private static final double BYTES_PER_MEGABYTE = 1e6;

	public EngineProfile {
		kinds = Map.copyOf(kinds);
	}

	/**
	 * Returns the accelerator of a name.
	 * @param name the name
	 * @return the kind, or empty when the profile doesn't list it
	 */
	public Optional<AcceleratorKind> kind(String name) {
		return Optional.ofNullable(this.kinds.get(name));
	}

	/**
	 * Returns the memory that the KV cache of one token takes in one layer.
	 * @return megabytes
	 */
	public double kvMegabytesPerTokenLayer() {
		return this.kvBytesPerToken / this.layers / BYTES_PER_MEGABYTE;
	}

	/**
	 * Returns the KV cache that an engine has room for, in tokens times layers.
	 * @param kind its accelerator
	 * @param heldLayers the layers whose weights it holds
	 * @return the room, 0 or more
	 */
	public double kvTokenLayers(AcceleratorKind kind, int heldLayers) {
		double free = kind.memoryMegabytes() - heldLayers * this.layerMegabytes;
		return Math.max(0, free / kvMegabytesPerTokenLayer());
	}

	/**
	 * Returns how many layers fit beside the KV cache of a number of tokens.
	 * @param kind the accelerator
	 * @param tokens tokens that pass through all of the engine's layers
	 * @return the number of layers, at most those of the model
	 */
	public int layersThatFit(AcceleratorKind kind, double tokens) {
		double each = this.layerMegabytes + tokens * kvMegabytesPerTokenLayer();
		return (int) Math.min(this.layers, Math.floor(kind.memoryMegabytes() / each));
	}

	/**
	 * Returns the mean tokens that a request holds over its life.
	 * @return tokens, at least 1
	 */
	public double typicalRequestTokens() {
		return Math.max(1, this.typicalPromptTokens + this.typicalOutputTokens / 2.0);
	}

}
