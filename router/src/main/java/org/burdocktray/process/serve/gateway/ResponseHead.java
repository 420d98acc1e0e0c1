package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import org.burdocktray.model.NetworkAddress;

/**
 * What the header of a replica's answer says. Thread safety: immutable.
 *
 * @param requestId the request that it answers
 * @param signed whether it bears a replica's signature
 * @param notExecuted whether the replica says that it did not run the request
 * @param faultAddress the engine that failed, where an engine of a path reports another
 */
public record ResponseHead(Optional<String> requestId, boolean signed, boolean notExecuted,
		Optional<NetworkAddress> faultAddress) {

}
