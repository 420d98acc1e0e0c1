package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import org.burdocktray.model.NetworkAddress;

/**
 * An answer that named another request than the one in progress on its connection. Thread
 * safety: immutable.
 *
 * @param server the address of the replica
 * @param localPort the port of this VM on the connection
 * @param status the status of the answer
 * @param foundId the id that it named, shortened
 * @param expectedId the id of the request in progress, empty if there was none
 * @param lateMillis the time since the last answer before it on the connection had ended
 */
record ForeignAnswer(NetworkAddress server, int localPort, int status, String foundId, Optional<String> expectedId,
		long lateMillis) {

}
