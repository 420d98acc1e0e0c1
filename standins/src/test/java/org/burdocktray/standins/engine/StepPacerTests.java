package org.burdocktray.standins.engine;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StepPacerTests {

	private static final long STEP_NANOS = 1_000_000;

	private final List<String> finished = new ArrayList<>();

	private final StepPacer pacer = new StepPacer(1_000);

	@Test
	void limitsTotalRateOfAllStreams() {
		for (int step = 0; step < 100; step++) {
			offer("s" + step, 0);
		}
		run(50 * STEP_NANOS);
		assertThat(this.finished).hasSize(50);
	}

	@Test
	void finishesHigherPrioritiesFirst() {
		offer("low 1", 0);
		offer("low 2", 0);
		offer("high", 5);
		run(3 * STEP_NANOS);
		assertThat(this.finished).containsExactly("high", "low 1", "low 2");
	}

	@Test
	void delaysNothingWithoutRateLimit() {
		StepPacer unlimited = new StepPacer(0);
		unlimited.offer(9, 0, () -> this.finished.add("s"), 0);
		unlimited.takeFinished(0).forEach(Runnable::run);
		assertThat(this.finished).containsExactly("s");
		assertThat(unlimited.nextFinishNanos()).isEmpty();
	}

	private void offer(String name, int priority) {
		this.pacer.offer(1, priority, () -> this.finished.add(name), 0);
	}

	private void run(long nowNanos) {
		this.pacer.takeFinished(nowNanos).forEach(Runnable::run);
	}

}
