package org.burdocktray.connection.http;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpResponse;
import org.burdocktray.model.NetworkAddress;

/**
 * Refuses answers that were read as one although they are two, so that the client ends
 * the connection. A server may begin an answer that nobody waits for and break it off
 * within its head; the codec then reads on in the answer behind it. The result has the
 * status of the first and the content of the second, whose status line ends up in the
 * reason phrase or in the value of a header. Thread safety: confined to the event loop of
 * its connection.
 */
final class MergedAnswerCheck extends ChannelInboundHandlerAdapter {

	private final NetworkAddress server;

	private final int localPort;

	private final Consumer<MergedAnswer> listener;

	/**
	 * Creates the check of a connection on which no request has been sent.
	 * @param server the address of the server
	 * @param localPort the port of this VM on the connection
	 * @param listener is told of each answer that is refused
	 */
	MergedAnswerCheck(NetworkAddress server, int localPort, Consumer<MergedAnswer> listener) {
		this.server = server;
		this.localPort = localPort;
		this.listener = listener;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
			findHeldStatusLine(response).ifPresent((statusLine) -> refuse(response, statusLine));
		}
		context.fireChannelRead(message);
	}

	private void refuse(HttpResponse response, String statusLine) {
		this.listener.accept(new MergedAnswer(this.server, this.localPort, response.status().code(), statusLine));
		response.setDecoderResult(
				DecoderResult.failure(new DecoderException("answer holds a part of another one: " + statusLine)));
	}

	// The names of headers can't hold one: the codec refuses those with a slash.
	private static Optional<String> findHeldStatusLine(HttpResponse response) {
		Optional<String> inReason = StatusLines.findFirst(response.status().reasonPhrase());
		if (inReason.isPresent()) {
			return inReason;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			Optional<String> inValue = StatusLines.findFirst(header.getValue());
			if (inValue.isPresent()) {
				return inValue;
			}
		}
		return Optional.empty();
	}

}
