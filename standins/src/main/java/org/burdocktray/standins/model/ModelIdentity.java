package org.burdocktray.standins.model;

/**
 * The attributes that determine a model's output. Thread safety: immutable.
 *
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param adapter the name of the adapter, empty for none
 */
public record ModelIdentity(String model, String modelVersion, String adapter) {

	long initialState(int layer) {
		long hash = Mixing.hash(this.model);
		hash = Mixing.mix(hash, Mixing.hash(this.modelVersion));
		hash = Mixing.mix(hash, Mixing.hash(this.adapter));
		return Mixing.mix(hash, layer);
	}

}
