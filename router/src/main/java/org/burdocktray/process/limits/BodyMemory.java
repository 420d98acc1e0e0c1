package org.burdocktray.process.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory that the bodies of all requests in progress take together. A part of
 * it is kept for small bodies, so that a few callers with large ones do not keep out all
 * others. Invariant: the open reservations never hold more than the limit. Thread safety:
 * safe for use by multiple threads; a reservation is confined to one.
 */
public final class BodyMemory {

	/**
	 * The share of the heap for bodies. A body is copied once while it grows and once for
	 * its digest.
	 */
	private static final double HEAP_SHARE = 0.25;

	/** The share of the limit that only small bodies may use. */
	private static final double SMALL_BODIES_SHARE = 0.2;

	private static final long SMALL_BODY_BYTES = 16_384;

	private final long maxBytes;

	private final AtomicLong heldBytes = new AtomicLong();

	/**
	 * Creates a limit.
	 * @param maxBytes the memory for all bodies
	 */
	public BodyMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates a limit that suits the heap of this process.
	 * @return the limit
	 */
	public static BodyMemory ofHeap() {
		return new BodyMemory((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
	}

	/**
	 * Opens the reservation of one request, which holds nothing yet.
	 * @return the reservation, which must be closed
	 */
	public Reservation open() {
		return new Reservation();
	}

	/**
	 * Returns the memory that is in use.
	 * @return bytes
	 */
	public long heldBytes() {
		return this.heldBytes.get();
	}

	/**
	 * Returns how much of the memory is in use.
	 * @return a share, 0 to 1
	 */
	public double usedShare() {
		return this.heldBytes.get() / (double) this.maxBytes;
	}

	/**
	 * The memory for the body of one request. Thread safety: none, confined to its
	 * request.
	 */
	public final class Reservation {

		private long bytes;

		private boolean closed;

		/**
		 * Reserves memory for a body of some length, unless that is reserved already.
		 * @param length the length of the body as far as it is known
		 * @return false if the body does not fit; the reservation then stays as it was
		 */
		public boolean reserve(long length) {
			long added = length - this.bytes;
			if (this.closed || added <= 0) {
				return !this.closed;
			}
			double share = (length <= SMALL_BODY_BYTES) ? 1 : 1 - SMALL_BODIES_SHARE;
			if (BodyMemory.this.heldBytes.addAndGet(added) > share * BodyMemory.this.maxBytes) {
				BodyMemory.this.heldBytes.addAndGet(-added);
				return false;
			}
			this.bytes = length;
			return true;
		}

		/** Releases the memory. Further calls have no effect. */
		public void close() {
			if (!this.closed) {
				this.closed = true;
				BodyMemory.this.heldBytes.addAndGet(-this.bytes);
			}
		}

	}

}
