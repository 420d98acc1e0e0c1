package org.burdocktray.request.forward;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of a server-sent event stream into complete events, which end with an
 * empty line. Invariant: bytes after the last complete event are buffered and not
 * returned, so that a stream that breaks off inside an event can continue at another
 * replica. The time per byte does not depend on the size of the event. Thread safety:
 * none, confined to the request.
 */
public final class EventFramer {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final int INITIAL_CAPACITY_BYTES = 512;

	/**
	 * The size of the largest event, with what precedes it after the last event that had
	 * an id.
	 */
	private static final int MAX_EVENT_BYTES = 65_536;

	private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];

	private int bufferedLength;

	private long bytesSinceId;

	private Optional<String> lastEventId = Optional.empty();

	/**
	 * Adds bytes of the stream.
	 * @param chunk the bytes
	 * @return the events that are complete now, empty if none is
	 * @throws EventTooLargeException if the bytes before this chunk exceed the size limit
	 */
	public byte[] accept(byte[] chunk) {
		if (this.bytesSinceId > MAX_EVENT_BYTES) {
			throw new EventTooLargeException("no event with an id in " + this.bytesSinceId + " bytes");
		}
		int scannedLength = this.bufferedLength;
		append(chunk);
		this.bytesSinceId += chunk.length;
		int end = endOfLastEvent(scannedLength);
		if (end == 0) {
			return new byte[0];
		}
		byte[] events = Arrays.copyOf(this.buffer, end);
		System.arraycopy(this.buffer, end, this.buffer, 0, this.bufferedLength - end);
		this.bufferedLength -= end;
		readIds(events);
		return events;
	}

	/** Discards the buffered part of an incomplete event. */
	public void reset() {
		this.bufferedLength = 0;
		this.bytesSinceId = 0;
	}

	/**
	 * Returns whether an incomplete event is buffered.
	 * @return true if the last byte of the stream is inside an event
	 */
	public boolean hasPartialEvent() {
		return this.bufferedLength > 0;
	}

	/**
	 * Returns the id of the last complete event that had one.
	 * @return the id, empty if no event had one
	 */
	public Optional<String> lastEventId() {
		return this.lastEventId;
	}

	private void append(byte[] chunk) {
		int needed = this.bufferedLength + chunk.length;
		if (needed > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.max(needed, 2 * this.buffer.length));
		}
		System.arraycopy(chunk, 0, this.buffer, this.bufferedLength, chunk.length);
		this.bufferedLength = needed;
	}

	private int endOfLastEvent(int scannedLength) {
		for (int index = this.bufferedLength - 1; index >= Math.max(1, scannedLength); index--) {
			if (this.buffer[index] != '\n') {
				continue;
			}
			if (this.buffer[index - 1] == '\n') {
				return index + 1;
			}
			if (index > 1 && this.buffer[index - 1] == '\r' && this.buffer[index - 2] == '\n') {
				return index + 1;
			}
		}
		return 0;
	}

	private void readIds(byte[] events) {
		int line = 0;
		for (int index = 0; index < events.length; index++) {
			if (events[index] == '\n') {
				readId(events, line, index);
				line = index + 1;
			}
		}
	}

	private void readId(byte[] events, int from, int to) {
		if (to - from < ID_FIELD.length) {
			return;
		}
		for (int index = 0; index < ID_FIELD.length; index++) {
			if (events[from + index] != ID_FIELD[index]) {
				return;
			}
		}
		int start = from + ID_FIELD.length;
		this.bytesSinceId = this.bufferedLength;
		this.lastEventId = Optional.of(new String(events, start, to - start, StandardCharsets.UTF_8).trim());
	}

}
