package org.burdocktray.request.hedge;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hedged runs beyond the limit of the fleet: by restarts, by VMs that do
 * not know each other, by bursts and by one organisation at the cost of the others.
 */
class HedgeLimitTests {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	@ParameterizedTest
	@ValueSource(doubles = { 0, 0.01, 0.05, 0.1 })
	void runsOfEachWindowStayWithinTheShareOfItsRequests(double share) {
		HedgeLimit limit = new HedgeLimit(share, 0, WINDOW_NANOS);
		List<Boolean> runs = new ArrayList<>();
		for (long nowNanos = 0; nowNanos < 5 * WINDOW_NANOS; nowNanos += STEP_NANOS) {
			limit.recordRequest("s", "acme", nowNanos);
			runs.add(limit.tryAcquireRun("s", "acme", nowNanos));
		}
		int stepsPerWindow = (int) (WINDOW_NANOS / STEP_NANOS);
		for (int from = 0; from + stepsPerWindow <= runs.size(); from++) {
			assertThat(count(runs.subList(from, from + stepsPerWindow)))
				.isLessThanOrEqualTo((long) (share * stepsPerWindow));
		}
		for (int from = 0; from + stepsPerWindow / 10 <= runs.size(); from++) {
			assertThat(count(runs.subList(from, from + stepsPerWindow / 10)))
				.isLessThanOrEqualTo(1 + (long) (share * stepsPerWindow / 10));
		}
		assertThat(count(runs)).isGreaterThanOrEqualTo((long) (0.6 * share * runs.size()));
	}

	@Test
	void restartRenewsNoAllowance() {
		HedgeLimit restarted = new HedgeLimit(0.05, 100, WINDOW_NANOS);
		restarted.setVmCount(1);
		restarted.recordRequest("s", "acme", 0);
		assertThat(restarted.tryAcquireRun("s", "acme", 0)).isFalse();
		assertThat(runsOverWindow(restarted)).isLessThanOrEqualTo(100);
	}

	@Test
	void vmsShareTheExtraRunsWithoutHearingFromEachOther() {
		int runs = IntStream.range(0, 5).map((vm) -> {
			HedgeLimit limit = new HedgeLimit(0, 50, WINDOW_NANOS);
			limit.setVmCount(5);
			return runsOverWindow(limit);
		}).sum();
		assertThat(runs).isPositive().isLessThanOrEqualTo(50);
	}

	@Test
	void vmThatDoesNotKnowTheFleetHasNoExtraRuns() {
		assertThat(runsOverWindow(new HedgeLimit(0, 50, WINDOW_NANOS))).isZero();
	}

	@Test
	void organisationWithManyLateRequestsLeavesOthersTheirPart() {
		HedgeLimit limit = new HedgeLimit(0.1, 0, WINDOW_NANOS);
		int runsOfOther = 0;
		for (long nowNanos = 0; nowNanos < 2 * WINDOW_NANOS; nowNanos += STEP_NANOS) {
			limit.recordRequest("s", "greedy", nowNanos);
			limit.recordRequest("s", "other", nowNanos);
			limit.tryAcquireRun("s", "greedy", nowNanos);
			limit.tryAcquireRun("s", "greedy", nowNanos);
			runsOfOther += limit.tryAcquireRun("s", "other", nowNanos) ? 1 : 0;
		}
		assertThat(runsOfOther).isGreaterThanOrEqualTo((int) (0.6 * 0.1 * 2 * WINDOW_NANOS / STEP_NANOS));
	}

	private static int runsOverWindow(HedgeLimit limit) {
		int runs = 0;
		for (long nowNanos = 0; nowNanos < WINDOW_NANOS; nowNanos += STEP_NANOS) {
			runs += limit.tryAcquireRun("s", "acme", nowNanos) ? 1 : 0;
		}
		return runs;
	}

	private static long count(List<Boolean> runs) {
		return runs.stream().filter((run) -> run).count();
	}

}
