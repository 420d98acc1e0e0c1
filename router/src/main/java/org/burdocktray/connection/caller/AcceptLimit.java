package org.burdocktray.connection.caller;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes accepted connections of one listener beyond a number before anything is made for
 * them: connections are accepted faster than an event loop takes them up. A few more than
 * {@link ClientConnections} keeps are let through, since it makes room for a new one by
 * closing another. Thread safety: connections are accepted on one thread and end on any.
 */
final class AcceptLimit extends ChannelInboundHandlerAdapter {

	/** How many may be on their way to the event loop. */
	static final int MARGIN = 16;

	private final int maxConnections;

	private final ClientConnections.Listener listener;

	private final AtomicInteger open = new AtomicInteger();

	/**
	 * Creates the limit of one listener.
	 * @param maxConnections the number of connections that are kept
	 * @param listener is told of those that are closed
	 */
	AcceptLimit(int maxConnections, ClientConnections.Listener listener) {
		this.maxConnections = maxConnections;
		this.listener = listener;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!(message instanceof Channel accepted)) {
			context.fireChannelRead(message);
			return;
		}
		if (this.open.get() >= this.maxConnections + MARGIN) {
			this.listener.onRefused(ClientRefusal.CONNECTIONS);
			accepted.unsafe().closeForcibly();
			return;
		}
		this.open.incrementAndGet();
		accepted.closeFuture().addListener((closed) -> this.open.decrementAndGet());
		context.fireChannelRead(accepted);
	}

}
