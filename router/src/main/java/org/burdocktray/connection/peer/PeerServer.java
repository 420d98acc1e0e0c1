package org.burdocktray.connection.peer;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.burdocktray.model.NetworkAddress;

/**
 * Accepts the connections of other VMs. Thread safety: {@link #close()} can be called
 * from any thread. The event loops are owned by the caller.
 */
public final class PeerServer implements AutoCloseable {

	private final Channel listener;

	private final ChannelGroup connections;

	private PeerServer(Channel listener, ChannelGroup connections) {
		this.listener = listener;
		this.connections = connections;
	}

	/**
	 * Starts a server. Blocks until the address is bound.
	 * @param eventLoops the network threads
	 * @param ip the address to bind
	 * @param port the port to bind, 0 for any free port
	 * @param limits the limits of the connections
	 * @param requestHandler handles the requests
	 * @return the running server
	 */
	public static PeerServer start(EventLoopGroup eventLoops, String ip, int port, PeerTransportLimits limits,
			PeerRequestHandler requestHandler) {
		ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
		PeerChannelInitializer initializer = new PeerChannelInitializer(limits,
				() -> new PeerServerHandler(requestHandler, limits.maxPendingRequests()));
		Channel listener = new ServerBootstrap().group(eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new GroupingInitializer(connections, initializer))
			.bind(new InetSocketAddress(ip, port))
			.syncUninterruptibly()
			.channel();
		return new PeerServer(listener, connections);
	}

	/**
	 * Returns the bound address.
	 * @return the address with the actual port
	 */
	public NetworkAddress address() {
		InetSocketAddress bound = (InetSocketAddress) this.listener.localAddress();
		return new NetworkAddress(bound.getAddress().getHostAddress(), bound.getPort());
	}

	/**
	 * Stops listening and closes all connections. Blocks until they are closed.
	 */
	@Override
	public void close() {
		this.listener.close().syncUninterruptibly();
		this.connections.close().syncUninterruptibly();
	}

}
