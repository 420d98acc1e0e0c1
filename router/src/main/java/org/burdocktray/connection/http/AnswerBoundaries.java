package org.burdocktray.connection.http;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.net.impl.ConnectionBase;
import org.burdocktray.model.NetworkAddress;

/**
 * Makes sure that what is read on a connection are answers, and that each begins where
 * the one before it has ended. A server may send bytes that are none, or begin an answer
 * that nobody waits for and never end it. Thread safety: stateless.
 */
public final class AnswerBoundaries {

	/** The handler behind which only answers with sound heads are read. */
	public static final String HEAD_CHECK = "merged-answers";

	private AnswerBoundaries() {
	}

	/**
	 * Checks a connection on which no request has been sent.
	 * @param connection the connection of a client
	 * @param listener is told of each answer that is refused
	 * @return the handlers of the connection, empty if it is closed already
	 */
	public static Optional<ChannelPipeline> check(HttpConnection connection, Consumer<MergedAnswer> listener) {
		SocketAddress remote = connection.remoteAddress();
		SocketAddress local = connection.localAddress();
		ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
		ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
		if (codec == null || remote == null || local == null) {
			return Optional.empty();
		}
		NetworkAddress server = new NetworkAddress(remote.hostAddress(), remote.port());
		TrailingBytesCheck trailingBytes = new TrailingBytesCheck(
				(status) -> listener.accept(new MergedAnswer(server, local.port(), status, "status line in its body")));
		AnswerGrammarCheck grammar = new AnswerGrammarCheck(server, local.port());
		pipeline.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
		pipeline.addBefore(codec.name(), "trailing-bytes", trailingBytes);
		pipeline.addBefore(codec.name(), "answer-grammar", grammar);
		pipeline.addAfter(codec.name(), "request-progress", trailingBytes.progress());
		pipeline.addAfter(codec.name(), HEAD_CHECK, new MergedAnswerCheck(server, local.port(), listener));
		pipeline.addAfter(codec.name(), "answer-ends", trailingBytes.answerEnds());
		pipeline.addAfter(codec.name(), "answer-messages", grammar.messages());
		return Optional.of(pipeline);
	}

}
