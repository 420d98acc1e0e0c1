package org.burdocktray.standins.engine;

import java.util.List;

import org.burdocktray.standins.model.ModelIdentity;

/**
 * The layers that an engine serves to new streams. Thread safety: immutable.
 *
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param adapters the loaded adapters
 * @param fromLayer the first layer
 * @param toLayer the end of the layer range, exclusive
 */
record LoadedLayers(String model, String modelVersion, List<String> adapters, int fromLayer, int toLayer) {

	boolean serves(ModelIdentity identity, Stage stage) {
		if (!this.model.equals(identity.model()) || !this.modelVersion.equals(identity.modelVersion())) {
			return false;
		}
		if (!identity.adapter().isEmpty() && !this.adapters.contains(identity.adapter())) {
			return false;
		}
		return this.fromLayer == stage.fromLayer() && this.toLayer == stage.toLayer();
	}

}
