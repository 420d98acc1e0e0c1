package org.burdocktray.version.rules;

/**
 * A kind of accelerator. Thread safety: immutable.
 *
 * @param name the name
 * @param memoryMegabytes what holds the weights and the KV cache
 * @param stepFactor how much longer a decoding step takes than the profile says
 * @param prefillFactor how much longer reading a prompt takes than the profile says
 */
public record AcceleratorKind(String name, double memoryMegabytes, double stepFactor, double prefillFactor) {

}
