package org.burdocktray.process.serve.gateway;

import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.connection.http.BodyCollector;
import org.burdocktray.process.limits.BodyMemory;

/**
 * The body of one request while it comes. Invariants: its memory is reserved before it is
 * held; either the body is complete or one fault is reported. Thread safety: confined to
 * one event loop.
 */
final class IncomingBody {

	private static final long NO_TIMER = -1;

	private final Vertx vertx;

	private final HttpServerRequest request;

	private final BodyMemory.Reservation reservation;

	private long timeLimitMillis;

	private long timer = NO_TIMER;

	IncomingBody(Vertx vertx, HttpServerRequest request, BodyMemory.Reservation reservation) {
		this.vertx = vertx;
		this.request = request;
		this.reservation = reservation;
	}

	/**
	 * Sets the time within which the body must be complete.
	 * @param millis the time from now
	 */
	void setTimeLimit(long millis) {
		this.timeLimitMillis = Math.max(1, millis);
	}

	/**
	 * Reads the body.
	 * @param maxBytes its maximum size
	 * @param onFault called once if it can't be read; what still comes is dropped
	 * @param onComplete called once with the whole body
	 */
	void read(long maxBytes, Consumer<Fault> onFault, Consumer<Buffer> onComplete) {
		long declaredBytes = declaredBytes();
		if (!this.reservation.reserve(Math.min(declaredBytes, maxBytes))) {
			onFault.accept(Fault.NO_MEMORY);
			return;
		}
		if (declaredBytes > 0 || this.request.headers().contains(HttpHeaders.TRANSFER_ENCODING)) {
			this.timer = this.vertx.setTimer(this.timeLimitMillis, (fired) -> giveUp(Fault.LATE, onFault));
		}
		BodyCollector collector = new BodyCollector(maxBytes, declaredBytes);
		this.request.handler((bytes) -> {
			if (!collector.add(bytes)) {
				giveUp(Fault.TOO_LARGE, onFault);
			}
			else if (!this.reservation.reserve(collector.heldBytes())) {
				collector.clear();
				giveUp(Fault.NO_MEMORY, onFault);
			}
		});
		this.request.endHandler((end) -> {
			cancelTimer();
			onComplete.accept(collector.body());
		});
	}

	private void giveUp(Fault fault, Consumer<Fault> onFault) {
		this.request.handler(null);
		this.request.endHandler(null);
		close();
		onFault.accept(fault);
	}

	/** Lets go of the memory. Further calls have no effect. */
	void close() {
		cancelTimer();
		this.reservation.close();
	}

	private void cancelTimer() {
		if (this.timer != NO_TIMER) {
			this.vertx.cancelTimer(this.timer);
			this.timer = NO_TIMER;
		}
	}

	private long declaredBytes() {
		String length = this.request.getHeader(HttpHeaders.CONTENT_LENGTH);
		try {
			return (length != null) ? Long.parseLong(length.trim()) : 0;
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	/**
	 * Why a body can't be read.
	 */
	enum Fault {

		/** It is larger than the limit. */
		TOO_LARGE,

		/** The bodies of all requests take all the memory for them. */
		NO_MEMORY,

		/** It was not complete in time. */
		LATE

	}

}
