package org.burdocktray.version.rules;

/**
 * A kind of accelerator. Thread safety: immutable.
 *
 * @param name the name
 * @param memoryMegabytes the memory for weights and KV cache
 * @param stepFactor the factor by which a decoding step takes longer than in the engine
 * profile
 * @param prefillFactor the factor by which prefill takes longer than in the engine
 * profile
 */
public record AcceleratorKind(String name, double memoryMegabytes, double stepFactor, double prefillFactor) {

}
