package org.burdocktray.process.overload;

import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionThresholdTests {

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final double DEMAND = 1.2;

	private final AdmissionThreshold threshold = new AdmissionThreshold(0.05);

	private long nowNanos = TimeUnit.SECONDS.toNanos(100);

	/** Guards against requests that are rejected long after all engines have stalled. */
	@Test
	void limitGrowsFastAfterStall() {
		run(10, 0.95, 0);
		run(5, 0, 50);
		assertThat(this.threshold.isClosed()).isTrue();
		runAdmitted(10);
		assertThat(this.threshold.limit()).isGreaterThan(0.85);
	}

	/** Guards against fast growth beyond the rate at which the fleet was full before. */
	@Test
	void limitGrowsSlowlyBeyondKnownRate() {
		run(10, 0.95, 0);
		run(1, 0.95, 50);
		assertThat(this.threshold.isClosed()).isTrue();
		runAdmitted(5);
		assertThat(this.threshold.limit()).isLessThan(1.1);
	}

	private void run(int seconds, double begun, double latePerSecond) {
		for (long step = 0; step < TimeUnit.SECONDS.toNanos(seconds) / STEP_NANOS; step++) {
			update(begun, latePerSecond);
		}
	}

	private void runAdmitted(int seconds) {
		for (long step = 0; step < TimeUnit.SECONDS.toNanos(seconds) / STEP_NANOS; step++) {
			update(Math.min(DEMAND, this.threshold.limit()), 0);
		}
	}

	private void update(double begun, double latePerSecond) {
		TreeMap<Integer, PriorityLoad> loads = new TreeMap<>();
		loads.put(0, new PriorityLoad(DEMAND, begun, 100 * begun, latePerSecond));
		this.nowNanos += STEP_NANOS;
		this.threshold.update(loads, false, this.nowNanos);
	}

}
