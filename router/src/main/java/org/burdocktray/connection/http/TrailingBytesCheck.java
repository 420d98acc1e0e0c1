package org.burdocktray.connection.http;

import java.util.Optional;
import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Looks at the bytes behind the end of an answer. No request is sent before the answer to
 * the one before it has ended, so they belong to no request: a connection on which such
 * bytes make no whole answer is closed, since the codec would read them together with the
 * next one. If they begin no answer either, and a status line was read as a part of the
 * body, the answer holds a part of another one and is refused. Invariant: a connection
 * carries no request behind bytes that belong to none. Thread safety: confined to the
 * event loop of its connection.
 */
final class TrailingBytesCheck extends ChannelInboundHandlerAdapter {

	private final AnswerEnds answerEnds = new AnswerEnds();

	private final RequestProgress progress = new RequestProgress(
			() -> this.present.ifPresent(AnswerRead::recordOwnEnd));

	private final IntConsumer listener;

	private Optional<AnswerRead> present = Optional.empty();

	private boolean codecHoldsBytes;

	/**
	 * Creates the check of a connection on which no request has been sent.
	 * @param listener receives the status of each answer that is refused
	 */
	TrailingBytesCheck(IntConsumer listener) {
		this.listener = listener;
	}

	/**
	 * Returns the handler that follows all answers. It stands right behind the codec.
	 * @return the handler
	 */
	ChannelHandler answerEnds() {
		return this.answerEnds;
	}

	/**
	 * Returns the handler that follows requests and their answers. It stands next to the
	 * client, behind all that pass answers over.
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
		AnswerRead read = new AnswerRead(bytes.retain(), !this.progress.isRequestInProgress());
		this.present = Optional.of(read);
		try {
			forward(context, read);
			if (read.endsWithinForeignAnswer()) {
				context.close();
			}
			this.codecHoldsBytes = !read.hasEnded() && (this.codecHoldsBytes || read.isHeld());
		}
		finally {
			this.present = Optional.empty();
			bytes.release();
		}
	}

	// Bytes that the codec copies behind those it holds can't be looked at when an answer
	// ends; one that ends before the last part has bytes behind it.
	private void forward(ChannelHandlerContext context, AnswerRead read) {
		Optional<ByteBuf> lastPart = this.codecHoldsBytes ? read.splitLastPart() : Optional.empty();
		context.fireChannelRead(read.bytes());
		lastPart.ifPresent((part) -> {
			read.beginLastPart();
			context.fireChannelRead(part);
		});
	}

	static boolean isInterim(HttpResponse response) {
		return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

	/**
	 * Looks behind each answer that ends. Interim answers have the real one behind them.
	 */
	private final class AnswerEnds extends ChannelInboundHandlerAdapter {

		private HttpResponse head;

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (message instanceof HttpResponse response) {
				this.head = response;
				TrailingBytesCheck.this.present.ifPresent(AnswerRead::recordHead);
			}
			boolean isEnd = message instanceof LastHttpContent last && last.decoderResult().isSuccess()
					&& !isInterim(this.head);
			Optional<AnswerRead> read = TrailingBytesCheck.this.present.filter((present) -> isEnd);
			read.ifPresent(AnswerRead::recordEnd);
			if (read.filter(AnswerRead::showsMergedBody).isEmpty()) {
				context.fireChannelRead(message);
				return;
			}
			ReferenceCountUtil.release(message);
			TrailingBytesCheck.this.listener.accept(this.head.status().code());
			context.fireChannelRead(refusedEnd());
		}

		private static LastHttpContent refusedEnd() {
			LastHttpContent refused = new DefaultLastHttpContent();
			refused.setDecoderResult(DecoderResult.failure(new DecoderException("answer holds a part of another one")));
			return refused;
		}

	}

}
