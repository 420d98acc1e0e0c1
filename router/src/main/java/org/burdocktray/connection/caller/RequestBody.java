package org.burdocktray.connection.caller;

import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * The body of one request while it comes. Thread safety: none, confined to its
 * connection.
 */
final class RequestBody {

	private final Optional<ChunkedBody> chunks;

	private long bytesLeft;

	private long lastReadNanos = System.nanoTime();

	/**
	 * Creates a body of which nothing has come.
	 * @param framing what the head says of its length
	 */
	RequestBody(RequestFraming framing) {
		this.chunks = framing.isChunked() ? Optional.of(new ChunkedBody()) : Optional.empty();
		this.bytesLeft = framing.contentLength();
	}

	/**
	 * Reads up to the end of the body.
	 * @param source the bytes that were received; those behind the body stay
	 * @param maxFramingBytes the maximum size of a size line, and of all trailers
	 * @return what the codec reads, possibly empty
	 */
	ByteBuf read(ByteBuf source, int maxFramingBytes) {
		this.lastReadNanos = System.nanoTime();
		if (this.chunks.isPresent()) {
			return this.chunks.get().read(source, maxFramingBytes);
		}
		int count = (int) Math.min(this.bytesLeft, source.readableBytes());
		this.bytesLeft -= count;
		return source.readRetainedSlice(count);
	}

	boolean isEnded() {
		return this.chunks.map(ChunkedBody::isEnded).orElse(this.bytesLeft == 0);
	}

	boolean isInvalid() {
		return this.chunks.filter(ChunkedBody::isInvalid).isPresent();
	}

	/**
	 * Returns when the last bytes came.
	 * @return the monotonic time
	 */
	long lastReadNanos() {
		return this.lastReadNanos;
	}

}
