package org.burdocktray.bench.membership;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Runs scheduled tasks in the order of their virtual times. Invariant: tasks of the same
 * time run in the order in which they were scheduled. Thread safety: none.
 */
public final class VirtualClock {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::sequence));

	private long nowNanos;

	private long lastSequence;

	/**
	 * Returns the current virtual time.
	 * @return the time in nanoseconds, 0 at first
	 */
	public long nowNanos() {
		return this.nowNanos;
	}

	/**
	 * Schedules a task.
	 * @param delayNanos the delay from the current virtual time
	 * @param action the task
	 */
	public void schedule(long delayNanos, Runnable action) {
		this.tasks.add(new Task(this.nowNanos + delayNanos, ++this.lastSequence, action));
	}

	/**
	 * Advances the virtual time and runs the tasks that become due.
	 * @param millis the virtual time to run
	 */
	public void runForMillis(long millis) {
		long endNanos = this.nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!this.tasks.isEmpty() && this.tasks.peek().dueNanos() <= endNanos) {
			Task task = this.tasks.poll();
			this.nowNanos = task.dueNanos();
			task.action().run();
		}
		this.nowNanos = endNanos;
	}

	private record Task(long dueNanos, long sequence, Runnable action) {

	}

}
