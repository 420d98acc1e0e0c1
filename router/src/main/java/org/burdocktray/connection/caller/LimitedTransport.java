package org.burdocktray.connection.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.bootstrap.ServerBootstrap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.impl.VertxBuilder;
import io.vertx.core.impl.transports.JDKTransport;
import io.vertx.core.net.NetServerOptions;
import org.burdocktray.model.NetworkAddress;

/**
 * The transport of the JDK with a limit on the connections that a listener accepts.
 * Thread safety: thread-safe.
 */
public final class LimitedTransport extends JDKTransport {

	private final Map<NetworkAddress, AcceptLimit> limits = new ConcurrentHashMap<>();

	/**
	 * Creates a Vert.x that uses this transport.
	 * @param options its options
	 * @return the new instance
	 */
	public Vertx createVertx(VertxOptions options) {
		return new VertxBuilder(options).findTransport(this).init().vertx();
	}

	/**
	 * Limits a listener. Has an effect on those that begin to listen later.
	 * @param address the address on which it listens
	 * @param maxConnections the number of connections that are kept
	 * @param listener is told of those that are closed
	 */
	public void limit(NetworkAddress address, int maxConnections, ClientConnections.Listener listener) {
		this.limits.put(address, new AcceptLimit(maxConnections, listener));
	}

	@Override
	public void configure(NetServerOptions options, boolean isDomainSocket, ServerBootstrap bootstrap) {
		super.configure(options, isDomainSocket, bootstrap);
		Optional.ofNullable(this.limits.get(new NetworkAddress(options.getHost(), options.getPort())))
			.ifPresent(bootstrap::handler);
	}

}
