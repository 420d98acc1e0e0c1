package org.burdocktray.connection.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.Queue;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Follows the answers on a connection by the grammar of HTTP/1.1. The codec takes more
 * than that for an answer: statuses of any number, names with blanks, sizes with bytes
 * behind them. Lines may end without a carriage return, but not those around chunks.
 * Invariant: what follows a fault is not read. Thread safety: confined to the event loop
 * of its connection.
 */
final class AnswerGrammar {

	/** More than the codec allows. */
	private static final int MAX_LINE_CHARACTERS = 16_384;

	private static final String CARRIAGE_RETURN = "\r";

	private final Queue<HttpMethod> methods = new ArrayDeque<>();

	/** The part of a line that an earlier read has brought. */
	private final StringBuilder line = new StringBuilder();

	private Part part = Part.STATUS_LINE;

	private AnswerHead head;

	private long remainingBytes;

	/**
	 * Records that a request is sent.
	 * @param method its method
	 */
	void onRequest(HttpMethod method) {
		this.methods.add(method);
	}

	/**
	 * Returns whether the end of the connection is the end of the answer.
	 * @return whether the body in progress has neither a length nor chunks
	 */
	boolean endsWithConnection() {
		return this.part == Part.REST;
	}

	/**
	 * Reads on.
	 * @param bytes the next bytes, whose indices are not changed
	 * @param index the index of the first byte to be read
	 * @return the index of the first byte that was not read, behind one line or a part of
	 * a body
	 * @throws InvalidAnswerException if the line is not valid
	 */
	int read(ByteBuf bytes, int index) {
		int end = bytes.writerIndex();
		if (this.part == Part.REST) {
			return end;
		}
		if (this.part.isData) {
			return index + skipData(end - index);
		}
		int lineEnd = bytes.indexOf(index, end, (byte) '\n');
		this.line.append(bytes.toString(index, ((lineEnd < 0) ? end : lineEnd) - index, StandardCharsets.ISO_8859_1));
		if (this.line.length() > MAX_LINE_CHARACTERS) {
			throw new InvalidAnswerException("long line");
		}
		if (lineEnd < 0) {
			checkBeginning();
			return end;
		}
		String complete = this.line.toString();
		this.line.setLength(0);
		readLine(complete);
		return lineEnd + 1;
	}

	// A client would wait for the rest of bytes that can't become an answer.
	private void checkBeginning() {
		if (this.part == Part.STATUS_LINE && !AnswerSyntax.mayBeginStatusLine(this.line.toString())) {
			throw new InvalidAnswerException("no status line");
		}
	}

	private int skipData(int availableBytes) {
		int skippedBytes = (int) Math.min(availableBytes, this.remainingBytes);
		this.remainingBytes -= skippedBytes;
		if (this.remainingBytes == 0) {
			this.part = (this.part == Part.CHUNK) ? Part.CHUNK_END : Part.STATUS_LINE;
		}
		return skippedBytes;
	}

	private void readLine(String read) {
		boolean hasCarriageReturn = read.endsWith(CARRIAGE_RETURN);
		String text = hasCarriageReturn ? read.substring(0, read.length() - 1) : read;
		if (this.part.isChunkFraming && !hasCarriageReturn) {
			throw new InvalidAnswerException("end of a line of a chunk");
		}
		switch (this.part) {
			case STATUS_LINE -> beginHead(text);
			case FIELD -> readField(text);
			case CHUNK_SIZE -> beginChunk(AnswerSyntax.readChunkSize(text));
			case CHUNK_END -> endChunk(text);
			case TRAILER -> readTrailer(text);
			default -> throw new IllegalStateException("no line is expected");
		}
	}

	// Line ends between answers are allowed.
	private void beginHead(String text) {
		if (!text.isEmpty()) {
			this.head = new AnswerHead(text);
			this.part = Part.FIELD;
		}
	}

	private void readField(String text) {
		if (text.isEmpty()) {
			beginBody();
			return;
		}
		this.head.addField(text);
	}

	private void beginBody() {
		boolean isChunked = this.head.isChunked();
		OptionalLong length = this.head.length();
		boolean answersHead = !this.head.isInterim() && HttpMethod.HEAD.equals(this.methods.poll());
		if (this.head.isWithoutBody(answersHead) || (length.isPresent() && length.getAsLong() == 0)) {
			this.part = Part.STATUS_LINE;
			return;
		}
		if (isChunked) {
			this.part = Part.CHUNK_SIZE;
			return;
		}
		this.part = length.isPresent() ? Part.BODY : Part.REST;
		this.remainingBytes = length.orElse(0);
	}

	private void beginChunk(long sizeBytes) {
		this.remainingBytes = sizeBytes;
		this.part = (sizeBytes == 0) ? Part.TRAILER : Part.CHUNK;
	}

	private void endChunk(String text) {
		if (!text.isEmpty()) {
			throw new InvalidAnswerException("bytes behind a chunk");
		}
		this.part = Part.CHUNK_SIZE;
	}

	private void readTrailer(String text) {
		if (text.isEmpty()) {
			this.part = Part.STATUS_LINE;
			return;
		}
		AnswerSyntax.checkField(text);
	}

	/**
	 * A part of an answer.
	 */
	private enum Part {

		STATUS_LINE(false, false),

		FIELD(false, false),

		/** A body with a length. */
		BODY(true, false),

		CHUNK_SIZE(false, true),

		CHUNK(true, false),

		/** The line end behind a chunk. */
		CHUNK_END(false, true),

		TRAILER(false, false),

		/** A body that ends with the connection. */
		REST(false, false);

		private final boolean isData;

		private final boolean isChunkFraming;

		Part(boolean isData, boolean isChunkFraming) {
			this.isData = isData;
			this.isChunkFraming = isChunkFraming;
		}

	}

}
