package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetRetryBudgetTests {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final double RATIO = 0.2;

	private static final int EXTRA = 196;

	@Test
	void nothingIsAllowedBeforeTheFleetIsCounted() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, EXTRA, WINDOW_NANOS, 0);
		assertThat(budget.tryAcquireRetry("s", WINDOW_NANOS)).isFalse();
	}

	@Test
	void aNewProcessDoesNotRenewTheAllowance() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, EXTRA, WINDOW_NANOS, 0);
		budget.setVmCount(1);
		assertThat(taken(budget, 0)).isZero();
		assertThat(taken(budget, WINDOW_NANOS / 10)).isLessThanOrEqualTo(EXTRA / 10);
	}

	@Test
	void allVmsTogetherStayWithinTheBoundOfEachWindow() {
		int vms = 9;
		List<FleetRetryBudget> fleet = new ArrayList<>();
		for (int vm = 0; vm < vms; vm++) {
			fleet.add(new FleetRetryBudget(RATIO, EXTRA, WINDOW_NANOS, 0));
			fleet.get(vm).setVmCount(vms);
		}
		int requests = 0;
		int repeats = 0;
		for (long now = WINDOW_NANOS; now < 2 * WINDOW_NANOS; now += TimeUnit.MILLISECONDS.toNanos(50)) {
			for (FleetRetryBudget budget : fleet) {
				budget.recordFirstAttempt("s", now);
				requests++;
				repeats += budget.tryAcquireRetry("s", now) ? 1 : 0;
				repeats += budget.tryAcquireRetry("s", now) ? 1 : 0;
			}
		}
		assertThat(repeats).isPositive().isLessThanOrEqualTo((int) (RATIO * requests + EXTRA));
	}

	@Test
	void servicesHaveBudgetsOfTheirOwn() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, EXTRA, WINDOW_NANOS, 0);
		budget.setVmCount(1);
		while (budget.tryAcquireRetry("a", WINDOW_NANOS)) {
			assertThat(budget).isNotNull();
		}
		assertThat(budget.tryAcquireRetry("b", WINDOW_NANOS)).isTrue();
	}

	private static int taken(FleetRetryBudget budget, long nowNanos) {
		int count = 0;
		while (budget.tryAcquireRetry("s", nowNanos)) {
			count++;
		}
		return count;
	}

}
