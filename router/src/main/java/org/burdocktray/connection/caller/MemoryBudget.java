package org.burdocktray.connection.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory for the heads of all requests in progress. A part of it is kept for
 * small heads, so that clients with large ones do not keep out all others. Invariant: the
 * reserved bytes never exceed the limit. Thread safety: safe for use by multiple threads.
 */
final class MemoryBudget {

	/** The share of the limit that only small heads may use. */
	private static final double SMALL_HEADS_SHARE = 0.4;

	private static final long SMALL_HEAD_BYTES = 32_768;

	/**
	 * What a parsed header line, or an element of a list in it, takes beside its
	 * characters.
	 */
	private static final long BYTES_PER_ELEMENT = 320;

	/** The copies of each byte: as received, parsed, and as forwarded. */
	private static final long BYTES_PER_BYTE = 4;

	private final long maxBytes;

	private final AtomicLong reservedBytes = new AtomicLong();

	MemoryBudget(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Returns what a head takes while its request is in progress.
	 * @param bytes its size
	 * @param elements the number of its lines and of the elements of lists in them
	 * @return bytes
	 */
	static long footprint(int bytes, int elements) {
		return BYTES_PER_BYTE * bytes + BYTES_PER_ELEMENT * elements;
	}

	/**
	 * Reserves memory.
	 * @param bytes the footprint of a head
	 * @return false if it does not fit; nothing is reserved then
	 */
	boolean reserve(long bytes) {
		double share = (bytes <= SMALL_HEAD_BYTES) ? 1 : 1 - SMALL_HEADS_SHARE;
		long limit = (long) (share * this.maxBytes);
		if (this.reservedBytes.addAndGet(bytes) <= limit) {
			return true;
		}
		this.reservedBytes.addAndGet(-bytes);
		return false;
	}

	void release(long bytes) {
		this.reservedBytes.addAndGet(-bytes);
	}

	long reservedBytes() {
		return this.reservedBytes.get();
	}

}
