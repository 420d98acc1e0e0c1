package org.burdocktray.process.membership;

import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.NetworkAddress;

/**
 * Action requested by the membership protocol. Thread safety: immutable.
 */
public sealed interface PeerAction {

	/**
	 * Send a request and report its reply or failure.
	 *
	 * @param token identifies the request when its outcome is reported
	 * @param peer the address of the receiver
	 * @param envelope the request
	 * @param timeoutMillis how long to wait for the reply
	 */
	record Request(long token, NetworkAddress peer, PeerEnvelope envelope, long timeoutMillis) implements PeerAction {

	}

	/**
	 * Reply to a request from another VM.
	 *
	 * @param inboundId the id passed in with the request
	 * @param envelope the reply
	 */
	record Reply(long inboundId, PeerEnvelope envelope) implements PeerAction {

	}

	/**
	 * Fetch a bundle version that is higher than the one in force here.
	 *
	 * @param peer a VM that has it in force
	 * @param version the version
	 */
	record FetchBundle(NetworkAddress peer, long version) implements PeerAction {

	}

}
