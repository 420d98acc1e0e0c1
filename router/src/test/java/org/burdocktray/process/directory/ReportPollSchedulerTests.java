package org.burdocktray.process.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.burdocktray.model.DataCentre;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReportPollSchedulerTests {

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Thirty VMs of one data centre would ask thirty times as often as one of them. */
	@Test
	void theFleetAsksNoMoreOftenThanOneVmWould() {
		assertThat(asked(30, 30)).isLessThan(asked(1, 1) * 5 / 4);
	}

	@Test
	void enginesOfLostVmsAreStillAsked() {
		List<Integer> perEngine = askedPerEngine(30, 20);
		assertThat(perEngine).allMatch((count) -> count > 8);
	}

	private static int asked(int listed, int alive) {
		return askedPerEngine(listed, alive).stream().mapToInt(Integer::intValue).sum();
	}

	private static List<Integer> askedPerEngine(int listed, int alive) {
		List<String> names = IntStream.range(0, listed).mapToObj((vm) -> "front-ghent-" + vm).toList();
		List<ReportPollScheduler> duties = new ArrayList<>();
		for (int vm = 0; vm < alive; vm++) {
			ReportPollScheduler duty = new ReportPollScheduler(names.get(vm), new DataCentre("ghent"));
			duty.setVms(names);
			duties.add(duty);
		}
		List<Replica> engines = IntStream.range(0, 28)
			.mapToObj((index) -> TestReplicas.engine("i-" + index, "ghent", "fast", 0, 5))
			.toList();
		int[] counts = new int[engines.size()];
		for (long now = 0; now < RUN_NANOS; now += STEP_NANOS) {
			for (ReportPollScheduler duty : duties) {
				for (Replica engine : duty.due(engines, now)) {
					counts[engines.indexOf(engine)]++;
					long instant = now;
					duties.forEach((other) -> other.recordPoll(engine.id(), instant));
				}
			}
		}
		return IntStream.of(counts).boxed().toList();
	}

}
