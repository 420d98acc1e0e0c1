package org.burdocktray.version.routing;

import org.burdocktray.model.DataCentre;

/**
 * A directed link between two data centres. Thread safety: immutable.
 *
 * @param from the data centre that sends
 * @param to the data centre that receives
 */
record LinkId(DataCentre from, DataCentre to) {

}
