package org.burdocktray.connection.peer;

import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.burdocktray.connection.peer.generated.PeerEnvelope;

/**
 * Hands the replies of one connection on. A frame that can't be read, or an idle
 * connection, is closed. Thread safety: used on the channel's event loop only.
 */
final class PeerClientHandler extends SimpleChannelInboundHandler<PeerEnvelope> {

	private final Consumer<PeerEnvelope> replyConsumer;

	PeerClientHandler(Consumer<PeerEnvelope> replies) {
		this.replyConsumer = replies;
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
