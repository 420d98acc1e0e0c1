package org.burdocktray.connection.engine;

/**
 * The model that an engine reports as loaded. Thread safety: immutable.
 *
 * @param model the name of the model, empty if the report contains none
 * @param modelVersion the version of the model, empty if the report contains none
 */
public record LoadedModel(String model, String modelVersion) {

}
