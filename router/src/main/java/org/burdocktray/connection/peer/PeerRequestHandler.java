package org.burdocktray.connection.peer;

import io.reactivex.rxjava3.core.Single;
import org.burdocktray.connection.peer.generated.PeerEnvelope;

/**
 * Handles the requests of other VMs. Thread safety: implementations are called
 * concurrently on network threads and must not block.
 */
@FunctionalInterface
public interface PeerRequestHandler {

	/**
	 * Handles a request.
	 * @param request the request
	 * @return the reply; the server sets its request id
	 */
	Single<PeerEnvelope> handle(PeerEnvelope request);

}
