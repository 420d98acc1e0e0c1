package org.burdocktray.connection.http;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.net.impl.ConnectionBase;
import org.burdocktray.model.NetworkAddress;

/**
 * Refuses answers that were read as one although they are two, so that the client ends
 * the connection. A server may begin an answer that nobody waits for and break it off
 * within its head; the codec then reads on in the answer behind it. The result has the
 * status of the first and the content of the second, whose status line ends up in the
 * reason phrase or in the value of a header. Thread safety: confined to the event loop of
 * its connection.
 */
public final class MergedAnswerCheck extends ChannelInboundHandlerAdapter {

	private static final String NAME = "merged-answers";

	private static final String PROTOCOL = "HTTP/";

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d +\\d{3}(?!\\d)");

	private final NetworkAddress server;

	private final int localPort;

	private final Consumer<MergedAnswer> listener;

	private MergedAnswerCheck(NetworkAddress server, int localPort, Consumer<MergedAnswer> listener) {
		this.server = server;
		this.localPort = localPort;
		this.listener = listener;
	}

	/**
	 * Checks the answers of a connection on which no request has been sent. Does nothing
	 * on one that is closed already.
	 * @param connection the connection of a client
	 * @param listener is told of each answer that is refused
	 */
	public static void install(HttpConnection connection, Consumer<MergedAnswer> listener) {
		SocketAddress remote = connection.remoteAddress();
		SocketAddress local = connection.localAddress();
		ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
		ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
		if (codec == null || remote == null || local == null) {
			return;
		}
		NetworkAddress server = new NetworkAddress(remote.hostAddress(), remote.port());
		pipeline.addAfter(codec.name(), NAME, new MergedAnswerCheck(server, local.port(), listener));
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
		response.setDecoderResult(DecoderResult
			.failure(new DecoderException("answer holds the beginning of another one: " + statusLine)));
	}

	// The names of headers can't hold one: the codec refuses those with a slash.
	private static Optional<String> findHeldStatusLine(HttpResponse response) {
		Optional<String> inReason = findStatusLine(response.status().reasonPhrase());
		if (inReason.isPresent()) {
			return inReason;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			Optional<String> inValue = findStatusLine(header.getValue());
			if (inValue.isPresent()) {
				return inValue;
			}
		}
		return Optional.empty();
	}

	private static Optional<String> findStatusLine(String text) {
		if (!text.contains(PROTOCOL)) {
			return Optional.empty();
		}
		Matcher matcher = STATUS_LINE.matcher(text);
		return matcher.find() ? Optional.of(matcher.group()) : Optional.empty();
	}

}
