package org.burdocktray.connection.caller;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * Holds the head of a request until it is complete. Bytes before the request line that
 * mean nothing are counted and dropped. Invariant: holds at most as many bytes as the
 * limit. Thread safety: none, confined to its connection.
 */
final class HeadBuffer {

	private static final byte[] EMPTY = {};

	private byte[] bytes = EMPTY;

	private int length;

	private int droppedBytes;

	private int elements;

	private int lineBytes;

	private boolean endsWithCarriageReturn;

	/**
	 * Takes bytes up to the end of the head.
	 * @param source the bytes that were received; those behind the head stay
	 * @param maxBytes the maximum size of a head
	 * @return whether the head is complete
	 */
	Progress read(ByteBuf source, int maxBytes) {
		if (this.length == 0) {
			dropBlanks(source);
		}
		int start = source.readerIndex();
		int index = start;
		boolean isComplete = false;
		while (index < source.writerIndex() && !isComplete) {
			isComplete = isEnd(source.getByte(index++));
		}
		int count = index - start;
		if (this.droppedBytes + this.length + (long) count > maxBytes) {
			return Progress.TOO_LARGE;
		}
		append(source, count, maxBytes);
		return isComplete ? Progress.COMPLETE : Progress.UNFINISHED;
	}

	private void dropBlanks(ByteBuf source) {
		while (source.isReadable() && isBlank(source.getByte(source.readerIndex()))) {
			source.skipBytes(1);
			this.droppedBytes++;
		}
	}

	private static boolean isBlank(byte value) {
		int character = value & 0xff;
		return character == ' ' || Character.isISOControl(character);
	}

	private boolean isEnd(byte value) {
		if (value == ',') {
			this.elements++;
		}
		if (value != '\n') {
			this.lineBytes++;
			this.endsWithCarriageReturn = value == '\r';
			return false;
		}
		boolean isEmptyLine = this.lineBytes == 0 || (this.lineBytes == 1 && this.endsWithCarriageReturn);
		this.elements++;
		this.lineBytes = 0;
		this.endsWithCarriageReturn = false;
		return isEmptyLine;
	}

	private void append(ByteBuf source, int count, int maxBytes) {
		int needed = this.length + count;
		if (needed > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, Math.max(needed, Math.min(2 * this.bytes.length, maxBytes)));
		}
		source.readBytes(this.bytes, this.length, count);
		this.length = needed;
	}

	/**
	 * Returns whether nothing of a head has come, not even blanks before it.
	 * @return true if the client has sent nothing
	 */
	boolean isEmpty() {
		return this.length == 0 && this.droppedBytes == 0;
	}

	byte[] bytes() {
		return this.bytes;
	}

	int length() {
		return this.length;
	}

	/**
	 * Returns into how many parts the head can fall: its lines, and the elements of lists
	 * in them.
	 * @return the number
	 */
	int elements() {
		return this.elements;
	}

	int heldBytes() {
		return this.bytes.length;
	}

	void clear() {
		this.bytes = EMPTY;
		this.length = 0;
		this.droppedBytes = 0;
		this.elements = 0;
		this.lineBytes = 0;
		this.endsWithCarriageReturn = false;
	}

	/**
	 * How far a head has come.
	 */
	enum Progress {

		/** More of it is due. */
		UNFINISHED,

		/** It has come to its end. */
		COMPLETE,

		/** It exceeds the limit. */
		TOO_LARGE

	}

}
