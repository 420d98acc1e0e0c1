package org.burdocktray.connection.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.burdocktray.model.NetworkAddress;

/**
 * A connection whose handlers stand in the order in which {@link AnswerBoundaries}
 * installs them, with a client that refuses what the one of Vert.x refuses: messages that
 * can't be read, other versions of HTTP, and messages while no request is in progress. It
 * also ends the connection at the head of an answer that names another request than the
 * one in progress, or none behind the first request, as attempts do. Thread safety: none.
 */
public final class CheckedChannel implements AutoCloseable {

	private static final int MAX_PIECE_BYTES = 60;

	private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);

	private final List<MergedAnswer> refused = new ArrayList<>();

	private final Client client = new Client();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	/**
	 * Opens a connection.
	 * @param behindHeadCheck the handlers behind the check of heads, in their order
	 */
	public CheckedChannel(ChannelHandler... behindHeadCheck) {
		this.channel.config().setAllocator(this.allocator);
		this.channel.freezeTime();
		NetworkAddress server = new NetworkAddress("127.0.0.1", 1);
		TrailingBytesCheck trailingBytes = new TrailingBytesCheck(
				(status) -> this.refused.add(new MergedAnswer(server, 2, status, "status line in its body")));
		AnswerGrammarCheck grammar = new AnswerGrammarCheck(server, 2);
		this.channel.pipeline()
			.addLast(trailingBytes, grammar, new HttpClientCodec(), grammar.messages(), trailingBytes.answerEnds(),
					new MergedAnswerCheck(server, 2, this.refused::add))
			.addLast(behindHeadCheck)
			.addLast(trailingBytes.progress(), this.client);
	}

	/**
	 * Sends a request.
	 * @param method its method
	 * @param id its id
	 */
	public void send(HttpMethod method, String id) {
		HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
		request.headers().set("Id", id);
		this.channel.writeOutbound(request);
		this.channel.releaseOutbound();
	}

	/**
	 * Lets the server send bytes that come in one read.
	 * @param text the bytes, one a character
	 */
	public void receive(String text) {
		if (text.isEmpty() || !isOpen()) {
			return;
		}
		ByteBuf bytes = this.allocator.buffer(text.length());
		bytes.writeCharSequence(text, StandardCharsets.ISO_8859_1);
		this.channel.writeInbound(bytes);
	}

	/**
	 * Lets the server send bytes that come in several reads.
	 * @param text the bytes, one a character
	 * @param random draws the pieces
	 */
	public void receiveInPieces(String text, Random random) {
		int from = 0;
		while (from < text.length()) {
			int to = Math.min(text.length(), from + 1 + random.nextInt(MAX_PIECE_BYTES));
			receive(text.substring(from, to));
			from = to;
		}
	}

	/**
	 * Lets the server send bytes of which each comes in a read of its own.
	 * @param text the bytes, one a character
	 */
	public void receiveByteByByte(String text) {
		text.chars().forEach((character) -> receive(String.valueOf((char) character)));
	}

	/**
	 * Returns what the client has read since the last call.
	 * @return the complete answers, without interim ones
	 */
	public List<ReadAnswer> takeAnswers() {
		List<ReadAnswer> taken = List.copyOf(this.client.answers);
		this.client.answers.clear();
		return taken;
	}

	/**
	 * Returns the answers that were refused.
	 * @return the answers, each as it was reported
	 */
	public List<MergedAnswer> refused() {
		return this.refused;
	}

	/**
	 * Returns whether neither side has closed the connection.
	 * @return false as well if the client has refused a message
	 */
	public boolean isOpen() {
		return this.channel.isOpen();
	}

	/**
	 * Returns the channel.
	 * @return the channel, for its time
	 */
	public EmbeddedChannel channel() {
		return this.channel;
	}

	/**
	 * Returns the bytes that are allocated.
	 * @return 0 at the end, unless some were not released
	 */
	public long allocatedBytes() {
		return this.allocator.metric().usedHeapMemory() + this.allocator.metric().usedDirectMemory();
	}

	/** Ends the connection as the server would. */
	@Override
	public void close() {
		if (this.channel.isOpen()) {
			this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		}
		this.channel.finishAndReleaseAll();
	}

	/**
	 * Reads answers as the client of Vert.x does.
	 */
	private static final class Client extends ChannelDuplexHandler {

		private final List<ReadAnswer> answers = new ArrayList<>();

		private final StringBuilder body = new StringBuilder();

		private boolean requestInProgress;

		private Optional<String> requestId = Optional.empty();

		private int requests;

		private boolean hasFailed;

		private HttpResponse head;

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			this.requestInProgress = true;
			this.requestId = single(((HttpRequest) message).headers(), "Id");
			this.requests++;
			context.write(message, promise);
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			try {
				this.hasFailed |= !this.requestInProgress || !isReadable((HttpObject) message)
						|| !isIdentified(message);
				if (this.hasFailed) {
					context.close();
					return;
				}
				read(message);
			}
			finally {
				ReferenceCountUtil.release(message);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			this.hasFailed = true;
			context.close();
		}

		private static boolean isReadable(HttpObject message) {
			boolean isOtherVersion = message instanceof HttpResponse response
					&& !response.protocolVersion().equals(HttpVersion.HTTP_1_1)
					&& !response.protocolVersion().equals(HttpVersion.HTTP_1_0);
			return message.decoderResult().isSuccess() && !isOtherVersion;
		}

		private boolean isIdentified(Object message) {
			if (!(message instanceof HttpResponse response) || isInterim(response)) {
				return true;
			}
			List<String> ids = response.headers().getAll("Id").stream().distinct().toList();
			return (ids.size() == 1) ? ids.equals(this.requestId.stream().toList()) : this.requests == 1;
		}

		private static boolean isInterim(HttpResponse response) {
			return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		}

		private void read(Object message) {
			if (message instanceof HttpResponse response) {
				this.head = response;
				this.body.setLength(0);
			}
			if (message instanceof HttpContent content) {
				this.body.append(content.content().toString(StandardCharsets.ISO_8859_1));
			}
			if (message instanceof LastHttpContent && this.head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
				this.requestInProgress = false;
				this.answers.add(new ReadAnswer(this.head.status().code(), single(this.head.headers(), "Id"),
						single(this.head.headers(), "Signature"), this.body.toString()));
			}
		}

		private static Optional<String> single(HttpHeaders headers, String name) {
			List<String> values = headers.getAll(name);
			return (values.size() == 1) ? Optional.of(values.get(0)) : Optional.empty();
		}

	}

}
