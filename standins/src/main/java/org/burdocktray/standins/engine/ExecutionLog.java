package org.burdocktray.standins.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Logs each position that ran, and counts violations: positions of a stream that ran
 * twice or out of order. The check is independent of the streams' states, except for
 * their imports and ends. The log keeps the first entries up to a limit; the counters
 * cover all positions. Thread safety: {@link #entries()} and {@link #violations()} may be
 * called from any thread; all other methods are confined to one event loop.
 */
final class ExecutionLog {

	private static final int MAX_ENTRIES = 2_000_000;

	private final Queue<ExecutedStep> entries = new ConcurrentLinkedQueue<>();

	private final Map<String, Integer> nextPositionByStream = new HashMap<>();

	private long positions;

	private volatile long violations;

	void add(ExecutedStep step) {
		int expected = this.nextPositionByStream.getOrDefault(step.streamId(), 0);
		if (step.position() != expected) {
			this.violations++;
		}
		this.nextPositionByStream.put(step.streamId(), Math.max(expected, step.position() + 1));
		this.positions++;
		if (this.positions <= MAX_ENTRIES) {
			this.entries.add(step);
		}
	}

	void recordImport(String streamId, int nextPosition) {
		this.nextPositionByStream.put(streamId, nextPosition);
	}

	void recordEnd(String streamId) {
		this.nextPositionByStream.remove(streamId);
	}

	long positions() {
		return this.positions;
	}

	long violations() {
		return this.violations;
	}

	List<ExecutedStep> entries() {
		return List.copyOf(this.entries);
	}

}
