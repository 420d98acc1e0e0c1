package org.burdocktray.request.path;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;

/**
 * One engine of a path and the layers that it runs for the request. Thread safety:
 * immutable.
 *
 * @param replica the engine
 * @param layers the layers, all of which the engine holds
 */
public record PathStage(Replica replica, LayerRange layers) {

}
