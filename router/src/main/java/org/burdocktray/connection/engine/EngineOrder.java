package org.burdocktray.connection.engine;

import org.burdocktray.version.bundle.Engine;

/**
 * An order to an engine to load a model or part of it. Thread safety: immutable.
 *
 * @param engine the engine
 * @param desired the desired state of the engine
 * @param fencingNumber the fencing number, which increases with each new holder of the
 * lease
 */
public record EngineOrder(Engine engine, DesiredState desired, long fencingNumber) {

}
