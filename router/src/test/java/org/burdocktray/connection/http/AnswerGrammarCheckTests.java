package org.burdocktray.connection.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.burdocktray.model.NetworkAddress;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that are complete for the client although they are not valid, or
 * were broken off.
 */
class AnswerGrammarCheckTests {

	private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\npart";

	private final List<String> read = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	@BeforeEach
	void open() {
		AnswerGrammarCheck check = new AnswerGrammarCheck(new NetworkAddress("127.0.0.1", 1), 2);
		this.channel.pipeline().addLast(check, new HttpClientCodec(), check.messages(), new Client());
		this.channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
		this.channel.releaseOutbound();
	}

	@Test
	void soundAnswerBeforeAFaultIsDelivered() {
		receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n");
		assertThat(this.read).containsExactly("status 200", "end", "InvalidAnswerException");
		assertThat(this.channel.isOpen()).isFalse();
	}

	/** Guards against callers that wait for the rest of what can't be an answer. */
	@Test
	void beginningThatIsNoStatusLineIsRefusedAtOnce() {
		receive("\r\nHTT");
		assertThat(this.channel.isOpen()).isTrue();
		receive("X");
		assertThat(this.read).first().isEqualTo("InvalidAnswerException");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void nothingBehindAFaultIsRead() {
		receive("HTTP/1.1 200 OK\r\nX Y: a\r\nContent-Length: 0\r\n\r\n");
		receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		assertThat(this.read).first().isEqualTo("InvalidAnswerException");
		assertThat(this.read).doesNotContain("status 200", "end");
	}

	@Test
	void answerWithoutLengthThatTheServerEndsIsComplete() {
		receive(WITHOUT_LENGTH);
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		assertThat(this.read).containsExactly("status 200", "end");
		assertThat(this.channel.isOpen()).isFalse();
	}

	/** A write that fails closes the channel before a reset is read. */
	@Test
	void answerWithoutLengthOnAChannelThatIsClosedIsBrokenOff() {
		receive(WITHOUT_LENGTH);
		this.channel.close();
		assertThat(this.read).containsExactly("status 200", "PrematureChannelClosureException");
	}

	/** A channel that allows half-closed connections has this order. */
	@Test
	void answerWithoutLengthThatIsResetIsBrokenOff() {
		receive(WITHOUT_LENGTH);
		this.channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		assertThat(this.read).containsExactly("status 200", "IOException", "PrematureChannelClosureException");
	}

	@Test
	void interimAnswersAreThoseThatTheClientKnows() {
		receive("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Other\r\n\r\n");
		assertThat(this.read).containsExactly("status 100", "end", "status 103", "end", "status 103", "end");
	}

	private void receive(String text) {
		if (this.channel.isOpen()) {
			this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
		}
	}

	/**
	 * Notes what it reads. Thread safety: none.
	 */
	private final class Client extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			HttpObject part = (HttpObject) message;
			if (part.decoderResult().isFailure()) {
				note(part.decoderResult().cause());
			}
			else {
				noteSound(part);
			}
			ReferenceCountUtil.release(message);
		}

		private void noteSound(HttpObject part) {
			if (part instanceof HttpResponse response) {
				AnswerGrammarCheckTests.this.read.add("status " + response.status().code());
			}
			if (part instanceof LastHttpContent) {
				AnswerGrammarCheckTests.this.read.add("end");
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			note(cause);
		}

		private void note(Throwable cause) {
			AnswerGrammarCheckTests.this.read.add(cause.getClass().getSimpleName());
		}

	}

}
