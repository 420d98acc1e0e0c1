package org.burdocktray.request.stream;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * A virtual clock that runs tasks in the order of their scheduled times. Invariant: tasks
 * with the same time run in the order in which they were scheduled. Thread safety: none.
 */
final class VirtualTime {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::order));

	private long nowNanos;

	private long lastOrder;

	long nowNanos() {
		return this.nowNanos;
	}

	void afterMillis(long millis, Runnable action) {
		this.tasks.add(new Task(this.nowNanos + TimeUnit.MILLISECONDS.toNanos(millis), ++this.lastOrder, action));
	}

	void runForMillis(long millis) {
		long untilNanos = this.nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!this.tasks.isEmpty() && this.tasks.peek().atNanos() <= untilNanos) {
			Task task = this.tasks.poll();
			this.nowNanos = task.atNanos();
			task.action().run();
		}
		this.nowNanos = untilNanos;
	}

	private record Task(long atNanos, long order, Runnable action) {

	}

}
