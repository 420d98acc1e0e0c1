package org.burdocktray.connection.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Closes a connection on which the beginning of an answer has come that nobody waits for.
 * The codec holds it until its head is complete, and would read it together with the
 * answer to the next request. Invariant: a connection that is idle at the end of a read
 * holds no bytes that came with that read. Thread safety: confined to the event loop of
 * its connection.
 */
final class HeldBytesCheck extends ChannelInboundHandlerAdapter {

	private final Progress progress = new Progress();

	/**
	 * Returns the handler that follows the requests and answers of the connection. It
	 * stands next to the client, behind all that pass answers over.
	 * @return the handler
	 */
	ChannelHandler progress() {
		return this.progress;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!(message instanceof ByteBuf bytes)) {
			context.fireChannelRead(message);
			return;
		}
		bytes.retain();
		try {
			context.fireChannelRead(bytes);
			// The codec releases bytes that it has read, and keeps others.
			boolean isHeld = bytes.refCnt() > 1 && bytes.isReadable();
			if (isHeld && !this.progress.requestInProgress) {
				context.close();
			}
		}
		finally {
			bytes.release();
		}
	}

	/**
	 * Knows whether a request is in progress. Interim answers don't end it.
	 */
	private static final class Progress extends ChannelDuplexHandler {

		private boolean requestInProgress;

		private boolean isInterim;

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
				this.isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			}
			if (message instanceof LastHttpContent && !this.isInterim) {
				this.requestInProgress = false;
			}
			context.fireChannelRead(message);
		}

	}

}
