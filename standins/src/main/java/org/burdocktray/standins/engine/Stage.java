package org.burdocktray.standins.engine;

/**
 * A stage of a pipeline. Thread safety: immutable.
 *
 * @param address the address of the engine
 * @param fromLayer the first layer
 * @param toLayer the end of the layer range, exclusive
 */
public record Stage(String address, int fromLayer, int toLayer) {
}
