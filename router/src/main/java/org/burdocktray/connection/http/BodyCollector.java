package org.burdocktray.connection.http;

import java.util.Arrays;

import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;

/**
 * Collects the body of a request or a response up to a size limit. Invariant: takes no
 * more memory than a body of the declared length needs, and for others at most twice that
 * of what has come. Thread safety: none, confined to the request.
 */
public final class BodyCollector {

	private static final byte[] EMPTY = {};

	private final long maxBytes;

	private final long expectedBytes;

	private byte[] body = EMPTY;

	private int length;

	private boolean tooLarge;

	/**
	 * Creates a collector without bytes.
	 * @param maxBytes the size limit
	 * @param declaredBytes the length that the sender has declared, 0 for none
	 */
	public BodyCollector(long maxBytes, long declaredBytes) {
		this.maxBytes = maxBytes;
		this.expectedBytes = (declaredBytes > 0) ? Math.min(declaredBytes, maxBytes) : maxBytes;
	}

	/**
	 * Adds bytes to the body. Discards the whole body once it exceeds the limit.
	 * @param bytes the next bytes
	 * @return whether the body is within the limit
	 */
	public boolean add(Buffer bytes) {
		if (this.tooLarge || this.length + (long) bytes.length() > this.maxBytes) {
			this.tooLarge = true;
			clear();
			return false;
		}
		int needed = this.length + bytes.length();
		if (needed > this.body.length) {
			int doubled = (int) Math.min(2L * this.body.length, this.expectedBytes);
			this.body = Arrays.copyOf(this.body, Math.max(needed, doubled));
		}
		bytes.getBytes(this.body, this.length);
		this.length = needed;
		return true;
	}

	/** Lets go of what has been collected. */
	public void clear() {
		this.body = EMPTY;
		this.length = 0;
	}

	/**
	 * Returns the memory that the body takes.
	 * @return bytes, at least the number of those that have come
	 */
	public int heldBytes() {
		return this.body.length;
	}

	/**
	 * Returns what has come.
	 * @return the body, which shares the memory of this collector
	 */
	public Buffer body() {
		return Buffer.buffer(Unpooled.wrappedBuffer(this.body, 0, this.length));
	}

}
