package org.burdocktray.bench.route;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler with a virtual clock. Events at the same time run in the
 * order in which they were scheduled. Thread safety: none.
 */
final class EventScheduler {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowNanos;

	private long nextSequenceNumber;

	long nowNanos() {
		return this.nowNanos;
	}

	void scheduleAt(long timeNanos, Runnable action) {
		this.events.add(new Event(timeNanos, this.nextSequenceNumber++, action));
	}

	void scheduleAfter(long delayNanos, Runnable action) {
		scheduleAt(this.nowNanos + delayNanos, action);
	}

	void runUntil(long endNanos) {
		while (!this.events.isEmpty() && this.events.peek().timeNanos() < endNanos) {
			Event event = this.events.remove();
			this.nowNanos = event.timeNanos();
			event.action().run();
		}
		this.nowNanos = endNanos;
	}

	private record Event(long timeNanos, long sequenceNumber, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.timeNanos, other.timeNanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequenceNumber, other.sequenceNumber);
		}

	}

}
