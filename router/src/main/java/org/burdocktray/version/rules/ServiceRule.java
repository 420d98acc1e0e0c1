package org.burdocktray.version.rules;

import java.util.Optional;

/**
 * A service that requests are routed to. Thread safety: immutable.
 *
 * @param name the name
 * @param healthPath the path of its health check
 * @param maxConnections the connections that a replica takes from all callers together
 * @param engine how its engines behave, for a service of model replicas
 */
public record ServiceRule(String name, String healthPath, int maxConnections, Optional<EngineProfile> engine) {

}
