package org.burdocktray.connection.engine;

import java.util.List;

/**
 * The complete desired state of an engine. It is not relative to the current state, so
 * repeating an order is harmless. Thread safety: immutable.
 *
 * @param model the name of the model to load
 * @param modelVersion the version of the model
 * @param adapters the adapters to load
 * @param fromLayer the first layer to load
 * @param toLayer the layer after the last layer to load
 * @param role the role of the engine
 */
public record DesiredState(String model, String modelVersion, List<String> adapters, int fromLayer, int toLayer,
		String role) {

	/** The role of an engine that generates tokens. */
	public static final String DECODE = "decode";

	public DesiredState {
		adapters = List.copyOf(adapters);
	}

}
