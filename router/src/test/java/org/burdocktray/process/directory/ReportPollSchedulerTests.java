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

	/**
	 * Without coordination, 30 VMs would poll the engines 30 times as often as one VM.
	 */
	@Test
	void allVmsTogetherPollNoMoreOftenThanOneVm() {
		assertThat(countPolls(30, 30)).isLessThan(countPolls(1, 1) * 5 / 4);
	}

	@Test
	void enginesAssignedToFailedVmsAreStillPolled() {
		List<Integer> pollsPerEngine = countPollsPerEngine(30, 20);
		assertThat(pollsPerEngine).allMatch((count) -> count > 8);
	}

	private static int countPolls(int listed, int running) {
		return countPollsPerEngine(listed, running).stream().mapToInt(Integer::intValue).sum();
	}

	private static List<Integer> countPollsPerEngine(int listed, int running) {
		List<String> names = IntStream.range(0, listed).mapToObj((vm) -> "front-ghent-" + vm).toList();
		List<ReportPollScheduler> schedulers = new ArrayList<>();
		for (int vm = 0; vm < running; vm++) {
			ReportPollScheduler scheduler = new ReportPollScheduler(names.get(vm), new DataCentre("ghent"));
			scheduler.setVms(names);
			schedulers.add(scheduler);
		}
		List<Replica> engines = IntStream.range(0, 28)
			.mapToObj((index) -> TestReplicas.engine("i-" + index, "ghent", "fast", 0, 5))
			.toList();
		int[] counts = new int[engines.size()];
		for (long nowNanos = 0; nowNanos < RUN_NANOS; nowNanos += STEP_NANOS) {
			for (ReportPollScheduler scheduler : schedulers) {
				for (Replica engine : scheduler.due(engines, nowNanos)) {
					counts[engines.indexOf(engine)]++;
					long pollNanos = nowNanos;
					schedulers.forEach((target) -> target.recordPoll(engine.id(), pollNanos));
				}
			}
		}
		return IntStream.of(counts).boxed().toList();
	}

}
