package org.burdocktray.process.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The parts of prompts with which answers have begun well on this VM. Invariant: the
 * number of parts is limited; those whose last such answer is longest ago go first.
 * Thread safety: none.
 */
final class BegunParts {

	private static final int MAX_PARTS = 4_096;

	private static final long MEMORY_NANOS = TimeUnit.MINUTES.toNanos(10);

	private final Map<Fingerprint, Long> lastBegunNanos = new LinkedHashMap<>();

	void record(Fingerprint part, long nowNanos) {
		this.lastBegunNanos.remove(part);
		this.lastBegunNanos.put(part, nowNanos);
		if (this.lastBegunNanos.size() > MAX_PARTS) {
			this.lastBegunNanos.remove(this.lastBegunNanos.keySet().iterator().next());
		}
	}

	boolean contains(Fingerprint part, long nowNanos) {
		Long begunNanos = this.lastBegunNanos.get(part);
		return begunNanos != null && nowNanos - begunNanos < MEMORY_NANOS;
	}

}
