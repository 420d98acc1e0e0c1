package org.burdocktray.connection.http;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.burdocktray.model.NetworkAddress;
import org.jboss.logging.Logger;

/**
 * Ends a connection on which the server does not send valid answers. Stands before the
 * codec, which reads only what is valid; so no answer that holds a fault is complete for
 * the client, and one that was complete before is delivered. An answer without a length
 * is complete only if the server has ended the connection in order: when a request is
 * still being sent, a reset may show as a failed write, after which the connection is
 * closed like one that the server has ended. The channel must allow half-closed
 * connections, so that their end can be told from a failure. Thread safety: confined to
 * the event loop of its connection.
 */
final class AnswerGrammarCheck extends ChannelInboundHandlerAdapter {

	private static final Logger LOGGER = Logger.getLogger(AnswerGrammarCheck.class);

	private final NetworkAddress server;

	private final int localPort;

	private final AnswerGrammar grammar = new AnswerGrammar();

	private boolean isRefused;

	private boolean hasFailed;

	private boolean isEndedByServer;

	/**
	 * Creates the check of a connection on which no request has been sent.
	 * @param server the address of the server
	 * @param localPort the port of this VM on the connection
	 */
	AnswerGrammarCheck(NetworkAddress server, int localPort) {
		this.server = server;
		this.localPort = localPort;
	}

	/**
	 * Returns the handler of what is sent and of the answers that the codec has read. It
	 * stands right behind the codec.
	 * @return the handler
	 */
	ChannelHandler messages() {
		return new Messages();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!(message instanceof ByteBuf bytes)) {
			context.fireChannelRead(message);
			return;
		}
		if (this.isRefused) {
			bytes.release();
			return;
		}
		int index = bytes.readerIndex();
		try {
			while (index < bytes.writerIndex()) {
				index = this.grammar.read(bytes, index);
			}
			context.fireChannelRead(bytes);
		}
		catch (InvalidAnswerException ex) {
			this.isRefused = true;
			context.fireChannelRead(bytes.writerIndex(index));
			refuse(context, ex);
		}
	}

	private void refuse(ChannelHandlerContext context, InvalidAnswerException fault) {
		LOGGER.warnf("Answer refused: server=%s connection=%d cause=%s", this.server, this.localPort,
				fault.getMessage());
		context.fireExceptionCaught(fault);
		context.close();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.hasFailed |= cause instanceof IOException;
		context.fireExceptionCaught(cause);
	}

	// The event also follows a failed read.
	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (!(event instanceof ChannelInputShutdownEvent)) {
			context.fireUserEventTriggered(event);
			return;
		}
		this.isEndedByServer = !this.hasFailed;
		context.fireUserEventTriggered(event);
		context.close();
	}

	private boolean isBrokenOff() {
		return !this.isEndedByServer && this.grammar.endsWithConnection();
	}

	/**
	 * Follows the requests, and holds back the end of answers that were broken off.
	 */
	private final class Messages extends ChannelDuplexHandler {

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			if (message instanceof HttpRequest request) {
				AnswerGrammarCheck.this.grammar.onRequest(request.method());
			}
			context.write(message, promise);
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (message instanceof HttpResponse response) {
				unifyInterimStatus(response);
			}
			if (!(message instanceof LastHttpContent) || !isBrokenOff()) {
				context.fireChannelRead(message);
				return;
			}
			ReferenceCountUtil.release(message);
			LastHttpContent brokenOff = new DefaultLastHttpContent();
			brokenOff.setDecoderResult(DecoderResult
				.failure(new PrematureChannelClosureException("the server has not ended the connection in order")));
			context.fireChannelRead(brokenOff);
		}

		// The client takes interim answers that it does not know for final ones.
		private static void unifyInterimStatus(HttpResponse response) {
			boolean isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			if (isInterim && !HttpResponseStatus.CONTINUE.equals(response.status())) {
				response.setStatus(new HttpResponseStatus(HttpResponseStatus.EARLY_HINTS.code(),
						response.status().reasonPhrase()));
			}
		}

	}

}
