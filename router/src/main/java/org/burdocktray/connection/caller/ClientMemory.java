package org.burdocktray.connection.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that the clients of a process share, worked out from its heap. Thread
 * safety: safe for use by multiple threads.
 */
public final class ClientMemory {

	/** What an open connection takes before anything is sent. */
	private static final long BYTES_PER_CONNECTION = 10_000;

	private final MemoryBudget heads;

	private final long maxUnparsedBytes;

	private final long maxUnreadBytes;

	private final int maxConnections;

	private final AtomicLong unparsedBytes = new AtomicLong();

	private final AtomicLong unreadBytes = new AtomicLong();

	/**
	 * Creates the memory of a process.
	 * @param heapBytes the size of the heap
	 * @param shares how it is divided
	 */
	public ClientMemory(long heapBytes, Shares shares) {
		this.heads = new MemoryBudget((long) (shares.heads() * heapBytes));
		this.maxUnparsedBytes = (long) (shares.unparsed() * heapBytes);
		this.maxUnreadBytes = (long) (shares.unread() * heapBytes);
		this.maxConnections = (int) Math.min(Integer.MAX_VALUE,
				shares.connections() * heapBytes / BYTES_PER_CONNECTION);
	}

	/**
	 * Creates the memory that suits the heap of this process.
	 * @param shares how it is divided
	 * @return the memory
	 */
	public static ClientMemory ofHeap(Shares shares) {
		return new ClientMemory(Runtime.getRuntime().maxMemory(), shares);
	}

	MemoryBudget heads() {
		return this.heads;
	}

	/**
	 * Counts bytes that are held as they came.
	 * @param addedBytes the number of bytes, negative for those that are let go
	 */
	void addUnparsed(long addedBytes) {
		this.unparsedBytes.addAndGet(addedBytes);
	}

	boolean isUnparsedExceeded() {
		return this.unparsedBytes.get() > this.maxUnparsedBytes;
	}

	/**
	 * Counts bytes of answers that wait to be sent.
	 * @param addedBytes the number of bytes, negative for those that have been sent
	 */
	void addUnread(long addedBytes) {
		this.unreadBytes.addAndGet(addedBytes);
	}

	boolean isUnreadExceeded() {
		return this.unreadBytes.get() > this.maxUnreadBytes;
	}

	/**
	 * Returns how many connections fit.
	 * @return the number for all listeners together
	 */
	public int maxConnections() {
		return this.maxConnections;
	}

	/**
	 * The shares of the heap. Thread safety: immutable.
	 *
	 * @param heads for the parsed heads of requests in progress
	 * @param unparsed for heads that are not complete, and for requests that are sent
	 * ahead
	 * @param unread for answers that clients have not read
	 * @param connections for open connections
	 */
	public record Shares(double heads, double unparsed, double unread, double connections) {

	}

}
