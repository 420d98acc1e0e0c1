package org.burdocktray.connection.peer;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.netty.channel.EventLoopGroup;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.NetworkAddress;

/**
 * The connections from this VM to other VMs, one per address. A connection is opened on
 * demand, closed when idle and reopened with backoff after a failure. Invariant: a
 * request is written at most once. Thread safety: can be called from any thread; replies
 * are delivered on network threads.
 */
public final class PeerConnections implements PeerRequester, AutoCloseable {

	private final EventLoopGroup eventLoops;

	private final PeerTransportLimits limits;

	private final ConcurrentMap<NetworkAddress, PeerConnection> connections = new ConcurrentHashMap<>();

	/**
	 * Creates an instance without open connections.
	 * @param eventLoops the network threads, which are owned by the caller
	 * @param limits the limits of the connections
	 */
	public PeerConnections(EventLoopGroup eventLoops, PeerTransportLimits limits) {
		this.eventLoops = eventLoops;
		this.limits = limits;
	}

	@Override
	public Single<Either<PeerError, PeerEnvelope>> request(NetworkAddress peer, PeerEnvelope request,
			long timeoutMillis) {
		return Single.create((reply) -> connection(peer).send(request, timeoutMillis, reply));
	}

	/**
	 * Closes all connections. Requests in progress fail.
	 */
	@Override
	public void close() {
		this.connections.values().forEach(PeerConnection::close);
	}

	private PeerConnection connection(NetworkAddress peer) {
		return this.connections.computeIfAbsent(peer, (address) -> new PeerConnection(address, this.eventLoops.next(),
				this.limits, (connection) -> this.connections.remove(address, connection)));
	}

}
