package org.burdocktray.process.serve.gateway;

import io.vertx.core.buffer.Buffer;

/**
 * Collects the body of a request or a response up to a size limit. Thread safety: none,
 * confined to the request.
 */
final class BodyCollector {

	private final long maxBytes;

	private Buffer body = Buffer.buffer();

	private boolean tooLarge;

	BodyCollector(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds bytes to the body. Discards the whole body once it exceeds the limit.
	 * @param bytes the next bytes
	 * @return whether the body is within the limit
	 */
	boolean add(Buffer bytes) {
		if (this.tooLarge || this.body.length() + (long) bytes.length() > this.maxBytes) {
			this.tooLarge = true;
			this.body = Buffer.buffer();
			return false;
		}
		this.body.appendBuffer(bytes);
		return true;
	}

	boolean isTooLarge() {
		return this.tooLarge;
	}

	Buffer body() {
		return this.body;
	}

}
