package org.burdocktray.connection.engine;

/**
 * What an engine says that it holds. Thread safety: immutable.
 *
 * @param model the model
 * @param modelVersion the version of the model
 */
public record LoadedModel(String model, String modelVersion) {

}
