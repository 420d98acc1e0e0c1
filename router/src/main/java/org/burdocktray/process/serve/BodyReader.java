package org.burdocktray.process.serve;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.limits.BodyMemory;
import org.burdocktray.version.bundle.Limits;

/**
 * Reads the body of a request and enforces the size and time limits of the bundle version
 * of the request. Thread safety: confined to the event loop of the request.
 */
final class BodyReader {

	private static final long RETRY_AFTER_MILLIS = 500;

	private final HttpServerRequest request;

	private final Limits limits;

	private final BodyMemory.Reservation reservation;

	private final Buffer body = Buffer.buffer();

	private final Promise<Either<Refusal, byte[]>> result = Promise.promise();

	private BodyReader(HttpServerRequest request, Limits limits, BodyMemory.Reservation reservation) {
		this.request = request;
		this.limits = limits;
		this.reservation = reservation;
	}

	/**
	 * Reads the body of a request.
	 * @param vertx schedules the read timeout
	 * @param request the request
	 * @param limits the limits on body size and read time
	 * @param reservation the memory for the body
	 * @return the body, or the refusal when a limit is exceeded; fails when the
	 * connection of the caller fails
	 */
	static Future<Either<Refusal, byte[]>> read(Vertx vertx, HttpServerRequest request, Limits limits,
			BodyMemory.Reservation reservation) {
		BodyReader reader = new BodyReader(request, limits, reservation);
		long timer = vertx.setTimer(limits.requestReadTimeoutMillis(),
				(id) -> reader.refuse(Refusal.notRun(RefusalReason.CALLER_TIMEOUT,
						"The body did not arrive within " + limits.requestReadTimeoutMillis() + " ms")));
		reader.start();
		return reader.result.future().onComplete((done) -> vertx.cancelTimer(timer));
	}

	private void start() {
		this.request.exceptionHandler(this.result::tryFail);
		this.request.handler(this::append);
		this.request.endHandler((end) -> this.result.tryComplete(Either.right(this.body.getBytes())));
	}

	private void append(Buffer chunk) {
		if (this.body.length() + (long) chunk.length() > this.limits.maxBodyBytes()) {
			refuse(Refusal.notRun(RefusalReason.TOO_LARGE,
					"The body is over " + this.limits.maxBodyBytes() + " bytes"));
			return;
		}
		if (!this.reservation.reserve(this.body.length() + (long) chunk.length())) {
			refuse(Refusal.notRunRetryAfter(RefusalReason.OVERLOADED, "Bodies in progress hold too many bytes",
					RETRY_AFTER_MILLIS));
			return;
		}
		this.body.appendBuffer(chunk);
	}

	private void refuse(Refusal refusal) {
		this.request.handler((ignored) -> {
		});
		this.request.response().putHeader("Connection", "close");
		this.result.tryComplete(Either.left(refusal));
	}

}
