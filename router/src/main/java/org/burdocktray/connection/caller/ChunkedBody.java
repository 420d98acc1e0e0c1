package org.burdocktray.connection.caller;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Reads a body in chunks and joins those that come together to one, so that what follows
 * costs no more for many small chunks than for a large one. Extensions and trailers are
 * counted and dropped. Source: RFC 9112, section 7.1. Thread safety: none, confined to
 * its connection.
 */
final class ChunkedBody {

	/** A size of eight digits and the end of the line. */
	private static final int SIZE_LINE_BYTES = 10;

	private static final int CHUNK_END_BYTES = 2;

	private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

	private static final int MAX_SIZE_DIGITS = 8;

	private static final int HEX_BASE = 16;

	private State state = State.SIZE;

	private long size;

	private int digits;

	private int framingBytes;

	private int trailerBytes;

	private boolean endsWithCarriageReturn;

	/**
	 * Reads up to the end of the body.
	 * @param source the bytes that were received; those behind the body stay
	 * @param maxFramingBytes the maximum size of a size line, and of all trailers
	 * @return the data in one chunk, with the last chunk if the body has ended
	 */
	ByteBuf read(ByteBuf source, int maxFramingBytes) {
		ByteBuf joined = Unpooled
			.buffer(SIZE_LINE_BYTES + source.readableBytes() + CHUNK_END_BYTES + LAST_CHUNK.length);
		joined.writeZero(SIZE_LINE_BYTES);
		while (source.isReadable() && this.state != State.END && this.state != State.INVALID) {
			if (this.state == State.DATA) {
				readData(source, joined);
			}
			else {
				readFraming(source.readByte(), maxFramingBytes);
			}
		}
		finishChunk(joined);
		if (this.state == State.END) {
			joined.writeBytes(LAST_CHUNK);
		}
		return joined;
	}

	boolean isEnded() {
		return this.state == State.END;
	}

	boolean isInvalid() {
		return this.state == State.INVALID;
	}

	private void readData(ByteBuf source, ByteBuf joined) {
		int count = (int) Math.min(this.size, source.readableBytes());
		joined.writeBytes(source, count);
		this.size -= count;
		if (this.size == 0) {
			this.state = State.DATA_END;
		}
	}

	private static void finishChunk(ByteBuf joined) {
		int dataBytes = joined.readableBytes() - SIZE_LINE_BYTES;
		if (dataBytes == 0) {
			joined.clear();
			return;
		}
		joined.setCharSequence(0, String.format("%08x\r\n", dataBytes), StandardCharsets.US_ASCII);
		joined.writeByte('\r').writeByte('\n');
	}

	private void readFraming(byte value, int maxFramingBytes) {
		if (++this.framingBytes > maxFramingBytes) {
			this.state = State.INVALID;
			return;
		}
		switch (this.state) {
			case SIZE -> readSize(value);
			case EXTENSION -> {
				if (value == '\n') {
					endSizeLine();
				}
			}
			case DATA_END -> readDataEnd(value);
			case TRAILERS -> readTrailer(value);
			default -> throw new IllegalStateException("no framing in state " + this.state);
		}
	}

	private void readSize(byte value) {
		int digit = Character.digit(value, HEX_BASE);
		if (digit >= 0) {
			this.size = this.size * HEX_BASE + digit;
			this.digits++;
			this.state = (this.digits > MAX_SIZE_DIGITS) ? State.INVALID : State.SIZE;
			return;
		}
		if (this.digits == 0) {
			this.state = State.INVALID;
			return;
		}
		if (value == '\n') {
			endSizeLine();
			return;
		}
		boolean endsSize = value == ';' || value == '\r' || value == ' ' || value == '\t';
		this.state = endsSize ? State.EXTENSION : State.INVALID;
	}

	private void endSizeLine() {
		this.framingBytes = 0;
		this.digits = 0;
		this.state = (this.size == 0) ? State.TRAILERS : State.DATA;
	}

	private void readDataEnd(byte value) {
		if (value == '\n') {
			this.framingBytes = 0;
			this.state = State.SIZE;
			this.endsWithCarriageReturn = false;
			return;
		}
		if (value != '\r' || this.endsWithCarriageReturn) {
			this.state = State.INVALID;
		}
		this.endsWithCarriageReturn = true;
	}

	private void readTrailer(byte value) {
		if (value == '\n') {
			boolean isEmptyLine = this.trailerBytes == 0 || (this.trailerBytes == 1 && this.endsWithCarriageReturn);
			this.state = isEmptyLine ? State.END : State.TRAILERS;
			this.trailerBytes = 0;
			this.endsWithCarriageReturn = false;
			return;
		}
		this.trailerBytes++;
		this.endsWithCarriageReturn = value == '\r';
	}

	private enum State {

		SIZE, EXTENSION, DATA, DATA_END, TRAILERS, END, INVALID

	}

}
