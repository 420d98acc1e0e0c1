package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.path.LayerPath;

/**
 * What this VM adds to the header of a request that it forwards. Thread safety:
 * immutable.
 *
 * @param target the replica that must run the request
 * @param remainingMillis the time that is left
 * @param organisation the name of the caller's organisation, empty on public routes
 * @param path the engines that the request passes through, for engines
 * @param lastEventId the event behind which a stream goes on
 */
public record ForwardHead(Replica target, long remainingMillis, Optional<String> organisation, Optional<LayerPath> path,
		Optional<String> lastEventId) {

}
