package org.burdocktray.connection.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Knows whether a request is in progress on a connection. Interim answers don't end it.
 * Thread safety: confined to the event loop of its connection.
 */
final class RequestProgress extends ChannelDuplexHandler {

	private final Runnable endListener;

	private boolean requestInProgress;

	private boolean interim;

	/**
	 * Creates the handler of a connection on which no request has been sent.
	 * @param endListener is told when the answer to a request has ended
	 */
	RequestProgress(Runnable endListener) {
		this.endListener = endListener;
	}

	boolean isRequestInProgress() {
		return this.requestInProgress;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof HttpRequest) {
			this.requestInProgress = true;
		}
		context.write(message, promise);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpResponse response) {
			this.interim = TrailingBytesCheck.isInterim(response);
		}
		if (message instanceof LastHttpContent && !this.interim) {
			this.requestInProgress = false;
			this.endListener.run();
		}
		context.fireChannelRead(message);
	}

}
