package org.burdocktray.process.serve.gateway;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Runs actions in the order of their virtual times. Thread safety: none.
 */
final class VirtualTime {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));

	private long nowMillis = 1_000_000;

	private long count;

	long millis() {
		return this.nowMillis;
	}

	long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	void schedule(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.count++, action));
	}

	void run(long millis) {
		long endMillis = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= endMillis) {
			Event event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = endMillis;
	}

	private record Event(long atMillis, long number, Runnable action) {

	}

}
