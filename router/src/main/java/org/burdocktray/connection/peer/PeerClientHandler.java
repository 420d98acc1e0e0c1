package org.burdocktray.connection.peer;

import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.burdocktray.connection.peer.generated.PeerEnvelope;

/**
 * Passes the replies received on a connection to a consumer. Closes the connection when
 * it is idle or receives an invalid frame. Thread safety: used on the channel's event
 * loop only.
 */
final class PeerClientHandler extends SimpleChannelInboundHandler<PeerEnvelope> {

	private final Consumer<PeerEnvelope> replyConsumer;

	PeerClientHandler(Consumer<PeerEnvelope> replyConsumer) {
		this.replyConsumer = replyConsumer;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, PeerEnvelope reply) {
		this.replyConsumer.accept(reply);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent) {
			context.close();
			return;
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
