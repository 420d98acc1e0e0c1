package org.burdocktray.connection;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Reads the body of a response into memory up to a limit. Invariant: holds at most the
 * limit and one chunk; a response over the limit is reset, so that no more of it is
 * received. Thread safety: confined to the event loop of the response.
 */
public final class BoundedBody {

	private final HttpClientResponse response;

	private final int maxBytes;

	private final Buffer content = Buffer.buffer();

	private final Promise<Buffer> result = Promise.promise();

	private BoundedBody(HttpClientResponse response, int maxBytes) {
		this.response = response;
		this.maxBytes = maxBytes;
	}

	/**
	 * Reads a body. Must be called in the handler that received the response.
	 * @param response the response
	 * @param maxBytes the maximum size of the body
	 * @return the body; fails if the body exceeds the limit or the connection fails
	 */
	public static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
		BoundedBody body = new BoundedBody(response, maxBytes);
		response.exceptionHandler(body.result::tryFail);
		response.handler(body::append);
		response.endHandler((end) -> body.result.tryComplete(body.content));
		return body.result.future();
	}

	private void append(Buffer chunk) {
		if (this.result.future().isComplete()) {
			return;
		}
		if (this.content.length() + (long) chunk.length() > this.maxBytes) {
			this.result.tryFail("the body of the response is over " + this.maxBytes + " bytes");
			this.response.request().reset();
			return;
		}
		this.content.appendBuffer(chunk);
	}

}
