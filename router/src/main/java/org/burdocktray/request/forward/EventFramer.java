package org.burdocktray.request.forward;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream into whole events, which end with an empty line.
 * Invariant: bytes behind the last whole event are kept back, so that a stream which
 * breaks off within an event can go on at another replica. Thread safety: none, confined
 * to the request.
 */
public final class EventFramer {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final int INITIAL_BYTES = 512;

	private byte[] pending = new byte[INITIAL_BYTES];

	private int pendingLength;

	private Optional<String> lastEventId = Optional.empty();

	/**
	 * Takes in bytes of the stream.
	 * @param chunk the bytes
	 * @return the whole events, empty when none has ended
	 */
	public byte[] accept(byte[] chunk) {
		append(chunk);
		int end = endOfLastEvent();
		if (end == 0) {
			return new byte[0];
		}
		byte[] events = Arrays.copyOf(this.pending, end);
		System.arraycopy(this.pending, end, this.pending, 0, this.pendingLength - end);
		this.pendingLength -= end;
		readIds(events);
		return events;
	}

	/** Drops what was kept back of an event that broke off. */
	public void reset() {
		this.pendingLength = 0;
	}

	/**
	 * Tells whether the stream stands within an event.
	 * @return whether bytes are kept back
	 */
	public boolean hasPartialEvent() {
		return this.pendingLength > 0;
	}

	/**
	 * Returns the id of the last whole event.
	 * @return the id, empty when no event had one
	 */
	public Optional<String> lastEventId() {
		return this.lastEventId;
	}

	private void append(byte[] chunk) {
		int needed = this.pendingLength + chunk.length;
		if (needed > this.pending.length) {
			this.pending = Arrays.copyOf(this.pending, Math.max(needed, 2 * this.pending.length));
		}
		System.arraycopy(chunk, 0, this.pending, this.pendingLength, chunk.length);
		this.pendingLength = needed;
	}

	private int endOfLastEvent() {
		for (int index = this.pendingLength - 1; index > 0; index--) {
			if (this.pending[index] != '\n') {
				continue;
			}
			if (this.pending[index - 1] == '\n') {
				return index + 1;
			}
			if (index > 1 && this.pending[index - 1] == '\r' && this.pending[index - 2] == '\n') {
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
		this.lastEventId = Optional.of(new String(events, start, to - start, StandardCharsets.UTF_8).trim());
	}

}
