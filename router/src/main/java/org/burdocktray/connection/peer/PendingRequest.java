package org.burdocktray.connection.peer;

import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.PeerEnvelope;

/**
 * A request whose reply is pending. Thread safety: confined to one event loop.
 *
 * @param message the request with its id
 * @param reply receives the outcome
 * @param timeout the scheduled timeout task
 */
record PendingRequest(PeerEnvelope message, SingleEmitter<Either<PeerError, PeerEnvelope>> reply, Future<?> timeout) {

	void succeed(PeerEnvelope envelope) {
		this.timeout.cancel(false);
		this.reply.onSuccess(Either.right(envelope));
	}

	void fail(PeerError error) {
		this.timeout.cancel(false);
		this.reply.onSuccess(Either.left(error));
	}

}
