package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.OptionalInt;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.path.LayerPath;

/**
 * The header fields that this VM adds to a forwarded request. Thread safety: immutable.
 *
 * @param target the replica that must run the request
 * @param remainingMillis the time until the deadline
 * @param organisation the name of the caller's organisation, empty on public routes
 * @param path the layer path of the request, empty unless the target is an engine
 * @param lastEventId the id of the event after which a resumed stream continues
 * @param priority the priority at the engines, 0 (first) to 9, empty to send none
 */
public record ForwardHead(Replica target, long remainingMillis, Optional<String> organisation, Optional<LayerPath> path,
		Optional<String> lastEventId, OptionalInt priority) {

}
