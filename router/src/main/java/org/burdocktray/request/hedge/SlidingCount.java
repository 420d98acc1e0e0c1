package org.burdocktray.request.hedge;

/**
 * Counts events in a sliding window, in slots of a twentieth of it. Since the window ends
 * within a slot, there are two counts: one that may be too low and one that may be too
 * high. Invariant: memory does not grow with the number of events. Thread safety: none,
 * confined to one event loop.
 */
final class SlidingCount {

	private static final int SLOTS = 20;

	private final long slotNanos;

	private final int[] counts = new int[SLOTS + 1];

	private boolean started;

	private long currentSlot;

	SlidingCount(long windowNanos) {
		this.slotNanos = Math.max(1, windowNanos / SLOTS);
	}

	void add(int amount, long nowNanos) {
		advance(nowNanos);
		this.counts[index(this.currentSlot)] += amount;
	}

	/**
	 * Counts the events that are certainly inside the window.
	 * @param nowNanos the monotonic time
	 * @return at most the events of the window
	 */
	int lowerBound(long nowNanos) {
		return upperBound(nowNanos) - this.counts[index(this.currentSlot + 1)];
	}

	/**
	 * Counts the events that may be inside the window.
	 * @param nowNanos the monotonic time
	 * @return at least the events of the window
	 */
	int upperBound(long nowNanos) {
		advance(nowNanos);
		int sum = 0;
		for (int count : this.counts) {
			sum += count;
		}
		return sum;
	}

	private void advance(long nowNanos) {
		long slot = Math.floorDiv(nowNanos, this.slotNanos);
		if (!this.started) {
			this.started = true;
			this.currentSlot = slot;
		}
		long steps = Math.min(slot - this.currentSlot, this.counts.length);
		for (long step = 1; step <= steps; step++) {
			this.counts[index(this.currentSlot + step)] = 0;
		}
		this.currentSlot = Math.max(this.currentSlot, slot);
	}

	private int index(long slot) {
		return Math.floorMod(slot, this.counts.length);
	}

}
