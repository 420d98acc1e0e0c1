package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import org.burdocktray.connection.http.BodyCollector;
import org.burdocktray.connection.http.BufferedBytesLimit;
import org.jboss.logging.Logger;

/**
 * Reads responses of servers that may send bytes without end. A response that exceeds a
 * limit is given up and its connection closed. Vert.x itself limits the lines and the
 * fields of a head, chunk sizes and trailers, but neither bodies nor the number of
 * interim responses. Thread safety: none, confined to one event loop.
 */
public final class ResponseReader {

	private static final Logger LOGGER = Logger.getLogger(ResponseReader.class);

	private static final int MAX_INTERIM_RESPONSES = 16;

	/** Closing a connection costs less than reading more. */
	private static final long MAX_DISCARDED_BYTES = 65_536;

	/**
	 * The size that the pieces of a body must have on average, since chunks have
	 * extensions, which cost time and are not part of the body.
	 */
	private static final long MIN_MEAN_PIECE_BYTES = 1_024;

	/** The number of pieces that may be smaller. */
	private static final long SMALL_PIECES = 64;

	private static final long MAX_DISCARD_MILLIS = 1_000;

	private final Vertx vertx;

	private final long maxResponseBytes;

	private final BufferedBytesLimit bufferedBytesLimit;

	private final Runnable onGivenUp;

	/**
	 * Creates a reader.
	 * @param vertx runs the event loop
	 * @param maxResponseBytes the size of the largest body
	 * @param maxBufferedBytes the number of bytes that all unfinished bodies may hold
	 * @param onGivenUp is called for each response that exceeds a limit
	 */
	public ResponseReader(Vertx vertx, long maxResponseBytes, long maxBufferedBytes, Runnable onGivenUp) {
		this.vertx = vertx;
		this.maxResponseBytes = maxResponseBytes;
		this.bufferedBytesLimit = new BufferedBytesLimit(maxBufferedBytes);
		this.onGivenUp = onGivenUp;
	}

	/**
	 * Gives a request up when it gets too many interim responses.
	 * @param request the request, before it is sent
	 */
	public void limitInterimResponses(HttpClientRequest request) {
		int[] count = new int[1];
		Runnable onInterimResponse = () -> {
			count[0]++;
			if (count[0] == MAX_INTERIM_RESPONSES + 1) {
				giveUp(request, "more than " + MAX_INTERIM_RESPONSES + " interim responses");
			}
		};
		request.continueHandler((received) -> onInterimResponse.run());
		request.earlyHintsHandler((received) -> onInterimResponse.run());
	}

	/**
	 * Reads the body of a response.
	 * @param response the response
	 * @return the body; fails if it does not end, or not within the limits
	 */
	public Future<Buffer> readBody(HttpClientResponse response) {
		Promise<Buffer> body = Promise.promise();
		response.exceptionHandler(body::tryFail);
		String tooLarge = "response is larger than " + this.maxResponseBytes + " bytes";
		if (declaredLength(response) > this.maxResponseBytes) {
			giveUp(response, body, tooLarge);
			return body.future();
		}
		BodyCollector collector = new BodyCollector(this.maxResponseBytes, declaredLength(response));
		BooleanSupplier pieceLimit = pieceLimit(this.maxResponseBytes);
		BufferedBytesLimit.Share share = this.bufferedBytesLimit
			.open(() -> giveUp(response, body, "responses in progress hold too many bytes"));
		body.future().onComplete((done) -> share.close());
		body.future().onFailure((cause) -> collector.clear());
		response.handler((bytes) -> {
			int heldBefore = collector.heldBytes();
			if (!pieceLimit.getAsBoolean() || !collector.add(bytes)) {
				giveUp(response, body, tooLarge);
				return;
			}
			share.add(collector.heldBytes() - heldBefore);
		});
		response.endHandler((end) -> body.tryComplete(collector.body()));
		return body.future();
	}

	/**
	 * Reads a response that nobody needs, so that its connection can be used again.
	 * Closes the connection if the response is large or does not end soon.
	 * @param response the response
	 */
	public void discard(HttpClientResponse response) {
		Promise<Void> end = Promise.promise();
		response.exceptionHandler(end::tryFail);
		String tooLarge = "discarded response is larger than " + MAX_DISCARDED_BYTES + " bytes";
		if (declaredLength(response) > MAX_DISCARDED_BYTES) {
			giveUp(response, end, tooLarge);
			return;
		}
		long timer = this.vertx.setTimer(MAX_DISCARD_MILLIS, (fired) -> {
			if (end.tryFail("response does not end")) {
				response.request().reset();
			}
		});
		end.future().onComplete((done) -> this.vertx.cancelTimer(timer));
		BooleanSupplier pieceLimit = pieceLimit(MAX_DISCARDED_BYTES);
		long[] discardedBytes = new long[1];
		response.handler((bytes) -> {
			discardedBytes[0] += bytes.length();
			if (!pieceLimit.getAsBoolean() || discardedBytes[0] > MAX_DISCARDED_BYTES) {
				giveUp(response, end, tooLarge);
			}
		});
		response.endHandler((ended) -> end.tryComplete());
	}

	/**
	 * Gives up a request whose response exceeds a limit: closes its connection.
	 * @param request the request
	 * @param cause the limit, for logs
	 */
	void giveUp(HttpClientRequest request, String cause) {
		LOGGER.infof("Response given up for its size: server=%s cause=%s",
				Optional.ofNullable(request.connection())
					.map(HttpConnection::remoteAddress)
					.map(Object::toString)
					.orElse(""),
				cause);
		this.onGivenUp.run();
		request.reset();
	}

	private void giveUp(HttpClientResponse response, Promise<?> result, String cause) {
		if (result.tryFail(cause)) {
			giveUp(response.request(), cause);
		}
	}

	// Counts a piece of a body with each call, and returns whether there may be so many.
	private static BooleanSupplier pieceLimit(long maxBytes) {
		long maxPieces = maxBytes / MIN_MEAN_PIECE_BYTES + SMALL_PIECES;
		long[] pieces = new long[1];
		return () -> ++pieces[0] <= maxPieces;
	}

	private static long declaredLength(HttpClientResponse response) {
		String length = response.getHeader(HttpHeaders.CONTENT_LENGTH);
		try {
			return (length != null) ? Long.parseLong(length.trim()) : 0;
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

}
