package org.burdocktray.bench.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A part of prompts that crashes engines, and what was seen of it. Thread safety: none.
 */
final class CrashingPart {

	private static final int COUNTED_CRASHES = 5;

	private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final String id;

	private final List<Long> crashedAtNanos = new ArrayList<>();

	private int lateRuns;

	CrashingPart(String id) {
		this.id = id;
	}

	String id() {
		return this.id;
	}

	void recordCrash(long nowNanos) {
		this.crashedAtNanos.add(nowNanos);
	}

	void recordRun(long nowNanos) {
		boolean isLate = this.crashedAtNanos.size() >= COUNTED_CRASHES
				&& nowNanos - this.crashedAtNanos.get(COUNTED_CRASHES - 1) > CONTACT_NANOS;
		this.lateRuns += isLate ? 1 : 0;
	}

	int crashes() {
		return this.crashedAtNanos.size();
	}

	int lateRuns() {
		return this.lateRuns;
	}

}
