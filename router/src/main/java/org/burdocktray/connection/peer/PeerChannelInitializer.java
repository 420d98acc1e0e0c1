package org.burdocktray.connection.peer;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import org.burdocktray.connection.peer.generated.PeerEnvelope;

/**
 * Installs the codecs of a connection between VMs. The length prefix is checked against
 * the frame limit before any part of the frame is buffered. Thread safety: can be shared
 * by all channels.
 */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {

	private static final int LENGTH_PREFIX_BYTES = 4;

	private final PeerTransportLimits limits;

	private final Supplier<ChannelHandler> messageHandler;

	PeerChannelInitializer(PeerTransportLimits limits, Supplier<ChannelHandler> messageHandler) {
		this.limits = limits;
		this.messageHandler = messageHandler;
	}

	@Override
	protected void initChannel(Channel channel) {
		ChannelPipeline pipeline = channel.pipeline();
		pipeline.addLast(new IdleStateHandler(0, 0, this.limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS));
		pipeline.addLast(new LengthFieldBasedFrameDecoder(this.limits.maxFrameBytes(), 0, LENGTH_PREFIX_BYTES, 0,
				LENGTH_PREFIX_BYTES));
		pipeline.addLast(new ProtobufDecoder(PeerEnvelope.getDefaultInstance()));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES));
		pipeline.addLast(new ProtobufEncoder());
		pipeline.addLast(this.messageHandler.get());
	}

}
