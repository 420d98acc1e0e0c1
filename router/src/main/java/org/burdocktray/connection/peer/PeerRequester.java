package org.burdocktray.connection.peer;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.NetworkAddress;

/**
 * Sends requests to other VMs. Thread safety: implementations can be called from any
 * thread.
 */
@FunctionalInterface
public interface PeerRequester {

	/**
	 * Sends a request and waits for its reply.
	 * @param peer the address of the other VM
	 * @param request the request; its request id is replaced
	 * @param timeoutMillis the time limit for connecting and for the reply
	 * @return the reply or the error; never terminates with an error signal
	 */
	Single<Either<PeerError, PeerEnvelope>> request(NetworkAddress peer, PeerEnvelope request, long timeoutMillis);

}
