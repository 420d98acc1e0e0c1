package org.burdocktray.version.routing;

import org.burdocktray.model.DataCentre;

/**
 * The use of a link by the activations of one model at one layer boundary. Thread safety:
 * immutable.
 *
 * @param model the name of the model
 * @param boundaryLayer the first layer of the receiving stages
 * @param from the data centre that sends
 * @param to the data centre that receives
 */
record LinkUse(String model, int boundaryLayer, DataCentre from, DataCentre to) {

	boolean isLocal() {
		return this.from.equals(this.to);
	}

}
