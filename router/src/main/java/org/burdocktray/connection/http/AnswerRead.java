package org.burdocktray.connection.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;

/**
 * The bytes of one read, and the answers that have begun or ended in them. Thread safety:
 * none, confined to the event loop of its connection.
 */
final class AnswerRead {

	private static final byte[] ANSWER_START = "HTTP/".getBytes(StandardCharsets.US_ASCII);

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

	/**
	 * Creates a read of which nothing was passed on.
	 * @param bytes its bytes
	 * @param noRequest whether no request is in progress
	 */
	AnswerRead(ByteBuf bytes, boolean noRequest) {
		this.bytes = bytes;
		this.begin = bytes.readerIndex();
		this.end = bytes.writerIndex();
		this.idle = noRequest && findStart() >= 0;
	}

	ByteBuf bytes() {
		return this.bytes;
	}

	/**
	 * Takes the bytes from the last one that is no line end off this read, so that what
	 * ends before them can be told from what ends behind them.
	 * @return these bytes, empty if the read has no others before them
	 */
	Optional<ByteBuf> splitLastPart() {
		int last = this.bytes.forEachByteDesc((value) -> value == '\r' || value == '\n');
		if (last <= this.bytes.readerIndex()) {
			return Optional.empty();
		}
		ByteBuf lastPart = this.bytes.retainedSlice(last, this.bytes.writerIndex() - last);
		this.bytes.writerIndex(last);
		this.part = Part.FIRST;
		return Optional.of(lastPart);
	}

	/** Records that the bytes that were taken off are passed on. */
	void beginLastPart() {
		this.part = Part.LAST;
	}

	void recordHead() {
		this.heads++;
	}

	void recordEnd() {
		this.ended = true;
		this.hasTrailingBytes = (this.part == Part.WHOLE) ? findStart() >= 0 : this.part == Part.FIRST;
	}

	/** Records that the answer that was waited for has ended. */
	void recordOwnEnd() {
		this.ownEnded = true;
	}

	boolean hasEnded() {
		return this.ended;
	}

	// The codec releases bytes that it has read.
	boolean isHeld() {
		return this.bytes.refCnt() > 1 && this.bytes.isReadable();
	}

	/**
	 * Returns whether the bytes behind the last answer belong to no request.
	 * @return whether the connection must not be used again
	 */
	boolean endsWithinForeignAnswer() {
		return this.idle ? (!this.ended || this.hasTrailingBytes) : (this.ownEnded && this.hasTrailingBytes);
	}

	/**
	 * Returns whether the body of the answer that has ended holds a part of another one.
	 * @return whether the answer is to be refused
	 */
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
		return IntStream.range(0, length).allMatch((index) -> this.bytes.getByte(start + index) == ANSWER_START[index]);
	}

	private long countStatusLines() {
		String text = this.bytes.toString(this.begin, this.end - this.begin, StandardCharsets.ISO_8859_1);
		return StatusLines.countBefore(text, this.bytes.readerIndex() - this.begin);
	}

	/**
	 * The part of a read that the codec is given.
	 */
	private enum Part {

		WHOLE, FIRST, LAST

	}

}
