package org.burdocktray.connection.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.group.ChannelGroup;

/**
 * Adds each accepted connection to a channel group and then installs its codecs. Thread
 * safety: can be shared by all channels.
 */
final class GroupingInitializer extends ChannelInitializer<Channel> {

	private final ChannelGroup connections;

	private final PeerChannelInitializer codecs;

	GroupingInitializer(ChannelGroup connections, PeerChannelInitializer codecs) {
		this.connections = connections;
		this.codecs = codecs;
	}

	@Override
	protected void initChannel(Channel channel) {
		this.connections.add(channel);
		channel.pipeline().addLast(this.codecs);
	}

}
