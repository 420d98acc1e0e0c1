package org.burdocktray.version.rules;

import java.util.Optional;

/**
 * A service that requests are routed to. Thread safety: immutable.
 *
 * @param name the name
 * @param healthPath the path of its health check
 * @param maxConnections the maximum number of connections of all callers to one replica
 * @param engine the profile of its engines, empty for a plain service
 */
public record ServiceRule(String name, String healthPath, int maxConnections, Optional<EngineProfile> engine) {

}
