package org.burdocktray.request.hedge;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.burdocktray.process.limits.FleetRetryBudget;
import org.burdocktray.process.settings.GatewayOptions.HedgingOptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against second runs of requests that may not have one, and against delays that
 * do not follow the times of first events.
 */
class HedgePolicyTests {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final HedgeClass SMALL = HedgeClass.of("r", "s", 100);

	private final FleetRetryBudget budget = new FleetRetryBudget(0.2, 0, WINDOW_NANOS, 0);

	private final HedgePolicy policy = new HedgePolicy(new HedgingOptions(0.05, 0, 0.9, 50), WINDOW_NANOS, this.budget,
			(service, replicas) -> true);

	@BeforeEach
	void receiveRequests() {
		for (int index = 0; index < 100; index++) {
			this.budget.recordFirstAttempt("s", 0);
			this.policy.recordRequest("s", "acme", 0);
		}
	}

	@Test
	void repeatableLateRequestMayRunTwice() {
		assertThat(this.policy.findObstacle(candidate(true, false, false, true, false, true), 1)).isEmpty();
	}

	@Test
	void requestsThatMustNotRunTwiceDoNot() {
		assertThat(List.of(candidate(false, false, false, true, false, true),
				candidate(true, true, false, true, false, true), candidate(true, false, true, true, false, true),
				candidate(true, false, false, false, false, true), candidate(true, false, false, true, true, true),
				candidate(true, false, false, true, false, false)))
			.map((candidate) -> this.policy.findObstacle(candidate, 1).orElseThrow())
			.containsExactly(HedgeObstacle.NOT_ELIGIBLE, HedgeObstacle.NOT_ELIGIBLE, HedgeObstacle.NOT_ELIGIBLE,
					HedgeObstacle.ATTEMPTS_SPENT, HedgeObstacle.SUSPECTED, HedgeObstacle.REACH);
	}

	@Test
	void limitEndsSecondRuns() {
		HedgeCandidate late = candidate(true, false, false, true, false, true);
		assertThat(IntStream.range(0, 100).filter((index) -> this.policy.tryAcquireRun(late, 1)).count()).isEqualTo(5);
		assertThat(this.policy.findObstacle(late, 1)).contains(HedgeObstacle.LIMIT);
	}

	@Test
	void halfOfTheRetryBudgetIsLeftToFailures() {
		for (int retry = 0; retry < 8; retry++) {
			assertThat(this.budget.tryAcquireRetry("s", 1)).isTrue();
		}
		assertThat(this.policy.findObstacle(candidate(true, false, false, true, false, true), 1))
			.contains(HedgeObstacle.BUDGET);
		assertThat(this.budget.tryAcquireRetry("s", 1)).isTrue();
	}

	@Test
	void noDelayIsKnownBeforeEnoughTimes() {
		record(SMALL, 19, 10, 0);
		assertThat(this.policy.recordStart(SMALL, 1)).isEmpty();
	}

	@Test
	void delayIsTheQuantileOfItsClass() {
		record(SMALL, 90, 100, 0);
		record(SMALL, 10, 900, 0);
		record(HedgeClass.of("r", "s", 10_000), 100, 400, 0);
		assertThat(delayMillis(SMALL, 0)).isBetween(100L, 107L);
		assertThat(delayMillis(HedgeClass.of("r", "s", 10_000), 0)).isBetween(400L, 428L);
	}

	@Test
	void delayIsNoShorterThanTheMinimum() {
		record(SMALL, 100, 3, 0);
		assertThat(delayMillis(SMALL, 0)).isEqualTo(50);
	}

	@Test
	void oldTimesAreForgotten() {
		long laterNanos = TimeUnit.SECONDS.toNanos(61);
		record(SMALL, 100, 900, 0);
		record(SMALL, 100, 100, laterNanos);
		record(SMALL, 100, 100, 2 * laterNanos);
		assertThat(delayMillis(SMALL, 2 * laterNanos)).isBetween(100L, 107L);
	}

	private void record(HedgeClass hedgeClass, int count, long millis, long nowNanos) {
		for (int index = 0; index < count; index++) {
			this.policy.recordFirstEvent(hedgeClass, TimeUnit.MILLISECONDS.toNanos(millis), nowNanos);
		}
	}

	private long delayMillis(HedgeClass hedgeClass, long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.policy.recordStart(hedgeClass, nowNanos).orElseThrow());
	}

	private static HedgeCandidate candidate(boolean repeatable, boolean responseStarted, boolean hedgedBefore,
			boolean canRunAgain, boolean suspected, boolean reachable) {
		return new HedgeCandidate("s", "acme", repeatable, responseStarted, hedgedBefore, canRunAgain, suspected,
				reachable);
	}

}
