package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Pattern;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.burdocktray.request.forward.EventFramer;
import org.burdocktray.request.forward.ResponseTiming;

/**
 * Delivers the events of one stream to its caller, whichever runs they come from.
 * Invariants: the caller gets whole events only; the response keeps the head of the run
 * that started it. Thread safety: confined to one event loop.
 */
final class StreamDelivery {

	private static final Pattern EVENT_NUMBER = Pattern.compile("[0-9]{1,9}");

	private final GatewayMetrics metrics;

	private final CallerResponse callerResponse;

	private final ResponseTiming timing;

	private final EventFramer framer = new EventFramer();

	private Optional<HttpClientResponse> head = Optional.empty();

	StreamDelivery(GatewayMetrics metrics, CallerResponse callerResponse, ResponseTiming timing) {
		this.metrics = metrics;
		this.callerResponse = callerResponse;
		this.timing = timing;
	}

	boolean isStarted() {
		return this.callerResponse.isStarted();
	}

	/**
	 * Returns the id of the last event that was delivered.
	 * @return the id, empty if there is none
	 */
	Optional<String> lastEventId() {
		return this.framer.lastEventId();
	}

	/**
	 * Returns the number of events of the whole response.
	 * @return the number, which is the id of the last event; empty if ids are no numbers
	 */
	OptionalInt eventCount() {
		return lastEventId().filter((id) -> EVENT_NUMBER.matcher(id).matches())
			.map((id) -> OptionalInt.of(Integer.parseInt(id)))
			.orElse(OptionalInt.empty());
	}

	/**
	 * Prepares for the events of another run, which starts behind the last whole event.
	 * @param nextHead the head of its stream, empty before it has come
	 */
	void startRun(Optional<HttpClientResponse> nextHead) {
		this.framer.reset();
		if (!isStarted()) {
			this.head = nextHead;
		}
	}

	void setHead(HttpClientResponse received) {
		if (this.head.isEmpty()) {
			this.head = Optional.of(received);
		}
	}

	HttpClientResponse head() {
		return this.head.orElseThrow();
	}

	boolean hasPartialEvent() {
		return this.framer.hasPartialEvent();
	}

	/**
	 * Delivers the events that are whole. Pauses the run while the caller does not read.
	 * @param bytes the next bytes of the run
	 * @param source the attempt that runs it
	 * @return whether an event was delivered
	 */
	boolean deliver(Buffer bytes, Attempt source) {
		byte[] events = this.framer.accept(bytes.getBytes());
		if (events.length == 0) {
			return false;
		}
		long nowNanos = System.nanoTime();
		this.timing.recordEvents(nowNanos);
		if (!isStarted()) {
			this.metrics.recordFirstByte(nowNanos - this.timing.startNanos());
			this.callerResponse.startStream(head());
		}
		if (!this.callerResponse.write(Buffer.buffer(events), source::resume)) {
			source.pause();
		}
		return true;
	}

}
