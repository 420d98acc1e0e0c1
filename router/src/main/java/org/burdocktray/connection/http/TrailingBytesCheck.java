package org.burdocktray.connection.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpRequest;
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

	private static final byte[] ANSWER_START = "HTTP/".getBytes(StandardCharsets.US_ASCII);

	private final AnswerEnds answerEnds = new AnswerEnds();

	private final Progress progress = new Progress();

	private final IntConsumer listener;

	private Optional<Read> present = Optional.empty();

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
		Read read = new Read(bytes.retain(), !this.progress.requestInProgress);
		this.present = Optional.of(read);
		try {
			forward(context, read);
			if (read.endsWithinForeignAnswer()) {
				context.close();
			}
			this.codecHoldsBytes = !read.ended && (this.codecHoldsBytes || read.isHeld());
		}
		finally {
			this.present = Optional.empty();
			bytes.release();
		}
	}

	// Bytes that the codec copies behind those it holds can't be looked at when an answer
	// ends; one that ends before the last part has bytes behind it.
	private void forward(ChannelHandlerContext context, Read read) {
		int lastPartLength = this.codecHoldsBytes ? read.lastPartLength() : 0;
		if (lastPartLength == 0) {
			context.fireChannelRead(read.bytes);
			return;
		}
		ByteBuf lastPart = read.bytes.retainedSlice(read.bytes.writerIndex() - lastPartLength, lastPartLength);
		read.part = Part.FIRST;
		context.fireChannelRead(read.bytes.writerIndex(read.bytes.writerIndex() - lastPartLength));
		read.part = Part.LAST;
		context.fireChannelRead(lastPart);
	}

	private static boolean isInterim(HttpResponse response) {
		return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

	/**
	 * What one read has brought. Thread safety: none, confined to the event loop of its
	 * connection.
	 */
	private static final class Read {

		private final ByteBuf bytes;

		private final int begin;

		/** Behind the last byte, also if the codec is given fewer. */
		private final int end;

		/** Whether no request was in progress when the bytes came. */
		private final boolean idle;

		private int heads;

		private boolean ended;

		/** Whether the answer that was waited for has ended. */
		private boolean ownEnded;

		private boolean hasTrailingBytes;

		private Part part = Part.WHOLE;

		Read(ByteBuf bytes, boolean idle) {
			this.bytes = bytes;
			this.begin = bytes.readerIndex();
			this.end = bytes.writerIndex();
			this.idle = idle && findStart() >= 0;
		}

		void recordEnd() {
			this.ended = true;
			this.hasTrailingBytes = (this.part == Part.WHOLE) ? findStart() >= 0 : this.part == Part.FIRST;
		}

		// The codec releases bytes that it has read.
		boolean isHeld() {
			return this.bytes.refCnt() > 1 && this.bytes.isReadable();
		}

		// From the last byte that is no line end.
		int lastPartLength() {
			int last = this.bytes.forEachByteDesc((value) -> value == '\r' || value == '\n');
			return (last > this.bytes.readerIndex()) ? this.bytes.writerIndex() - last : 0;
		}

		boolean endsWithinForeignAnswer() {
			return this.idle ? (!this.ended || this.hasTrailingBytes) : (this.ownEnded && this.hasTrailingBytes);
		}

		boolean showsMergedBody() {
			return this.part == Part.WHOLE && this.hasTrailingBytes && !mayBeginAnswer(findStart())
					&& countStatusLines() > this.heads;
		}

		// Line ends between answers are allowed.
		private int findStart() {
			int from = this.bytes.readerIndex();
			return this.bytes.forEachByte(from, this.end - from, (value) -> value == '\r' || value == '\n');
		}

		private boolean mayBeginAnswer(int start) {
			int length = Math.min(ANSWER_START.length, this.end - start);
			return IntStream.range(0, length)
				.allMatch((index) -> this.bytes.getByte(start + index) == ANSWER_START[index]);
		}

		private long countStatusLines() {
			String text = this.bytes.toString(this.begin, this.end - this.begin, StandardCharsets.ISO_8859_1);
			return StatusLines.countBefore(text, this.bytes.readerIndex() - this.begin);
		}

	}

	/**
	 * The part of a read that the codec is given.
	 */
	private enum Part {

		WHOLE, FIRST, LAST

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
				TrailingBytesCheck.this.present.ifPresent((read) -> read.heads++);
			}
			boolean isEnd = message instanceof LastHttpContent last && last.decoderResult().isSuccess()
					&& !isInterim(this.head);
			Optional<Read> read = TrailingBytesCheck.this.present.filter((present) -> isEnd);
			read.ifPresent(Read::recordEnd);
			if (read.filter(Read::showsMergedBody).isEmpty()) {
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

	/**
	 * Knows whether a request is in progress. Interim answers don't end it.
	 */
	private final class Progress extends ChannelDuplexHandler {

		private boolean requestInProgress;

		private boolean interim;

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
				this.interim = isInterim(response);
			}
			if (message instanceof LastHttpContent && !this.interim) {
				this.requestInProgress = false;
				TrailingBytesCheck.this.present.ifPresent((read) -> read.ownEnded = true);
			}
			context.fireChannelRead(message);
		}

	}

}
