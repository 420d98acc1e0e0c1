package org.burdocktray.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Simulates the throughput of continuous batching: all streams share one rate, and queued
 * steps of a higher priority are processed first. Steps of the same priority finish in
 * order. While steps are queued, the rate is not exceeded. Thread safety: confined to one
 * event loop.
 */
final class StepPacer {

	/**
	 * The number of additional positions in a batch that take as long as one position.
	 */
	private static final double BATCH_SPEEDUP = 16;

	private final double positionsPerSecond;

	private final PriorityQueue<QueuedStep> queue = new PriorityQueue<>(
			Comparator.comparingInt(QueuedStep::priority).reversed().thenComparingLong(QueuedStep::sequence));

	private long serviceStartNanos;

	private long sequence;

	StepPacer(double positionsPerSecond) {
		this.positionsPerSecond = positionsPerSecond;
	}

	void offer(int positions, int priority, Runnable action, long nowNanos) {
		if (this.queue.isEmpty()) {
			this.serviceStartNanos = nowNanos;
		}
		this.queue.add(new QueuedStep(priority, this.sequence, costNanos(positions), action));
		this.sequence++;
	}

	/**
	 * Removes the steps that have finished.
	 * @param nowNanos the current time
	 * @return the actions of the steps in order
	 */
	List<Runnable> takeFinished(long nowNanos) {
		List<Runnable> finished = new ArrayList<>();
		while (!this.queue.isEmpty()) {
			long finishNanos = this.serviceStartNanos + this.queue.peek().costNanos();
			if (finishNanos > nowNanos) {
				return finished;
			}
			this.serviceStartNanos = finishNanos;
			finished.add(this.queue.remove().action());
		}
		return finished;
	}

	Optional<Long> nextFinishNanos() {
		return Optional.ofNullable(this.queue.peek()).map((next) -> this.serviceStartNanos + next.costNanos());
	}

	private long costNanos(int positions) {
		if (this.positionsPerSecond <= 0 || positions == 0) {
			return 0;
		}
		double weight = 1 + (positions - 1) / BATCH_SPEEDUP;
		return (long) (TimeUnit.SECONDS.toNanos(1) * weight / this.positionsPerSecond);
	}

	private record QueuedStep(int priority, long sequence, long costNanos, Runnable action) {
	}

}
