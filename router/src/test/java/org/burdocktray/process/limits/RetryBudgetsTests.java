package org.burdocktray.process.limits;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetsTests {

	private static final RetryBudgetParameters PARAMETERS = new RetryBudgetParameters(0.1, 0.5, 5, 0.9, 10);

	private final RetryBudgets budgets = new RetryBudgets(PARAMETERS, 0);

	@Test
	void allowsNoRetryBeforeAnyFirstAttempt() {
		assertThat(countAllowedRetries("a", "u", 100, 0)).isZero();
	}

	@Test
	void firstAttemptsAddRetriesByRatio() {
		recordFirstAttempts("a", "u", 30);
		assertThat(countAllowedRetries("a", "u", 100, 0)).isEqualTo(3);
	}

	@Test
	void savesAtMostTheBurst() {
		recordFirstAttempts("a", "u", 1000);
		assertThat(countAllowedRetries("a", "u", 100, 0)).isEqualTo(5);
	}

	@Test
	void floorRateAllowsRetriesWithoutFirstAttempts() {
		countAllowedRetries("a", "u", 1, 0);
		assertThat(countAllowedRetries("a", "u", 100, TimeUnit.SECONDS.toNanos(4))).isEqualTo(2);
	}

	@Test
	void upstreamGetsRetriesInProportionToItsOwnFirstAttempts() {
		exhaustBudgets("a", "idle");
		recordFirstAttempts("a", "busy", 40);
		recordFirstAttempts("a", "idle", 10);
		assertThat(countAllowedRetries("a", "idle", 100, 0)).isEqualTo(1);
	}

	@Test
	void organisationGetsRetriesInProportionToItsOwnFirstAttempts() {
		exhaustBudgets("small", "u");
		recordFirstAttempts("large", "u", 40);
		recordFirstAttempts("small", "u", 10);
		assertThat(countAllowedRetries("small", "u", 100, 0)).isEqualTo(1);
	}

	@Test
	void vmBudgetLimitsRetriesOfAllOrganisations() {
		int allowed = 0;
		for (int organisation = 0; organisation < 10; organisation++) {
			recordFirstAttempts("o" + organisation, "u" + organisation, 10);
		}
		for (int organisation = 0; organisation < 10; organisation++) {
			allowed += countAllowedRetries("o" + organisation, "u" + organisation, 10, 0);
		}
		assertThat(allowed).isEqualTo(5);
	}

	@Test
	void refusedRetryIsNotCharged() {
		exhaustBudgets("other", "idle");
		recordFirstAttempts("a", "u", 30);
		countAllowedRetries("a", "idle", 100, 0);
		assertThat(countAllowedRetries("a", "u", 100, 0)).isEqualTo(3);
	}

	@Test
	void allowsNoRetryWhileWholeGroupFails() {
		recordFirstAttempts("a", "u", 30);
		recordAttemptResults(20, true);
		assertThat(countAllowedRetries("a", "u", 1, 0)).isZero();
	}

	@Test
	void allowsRetriesAgainOnceGroupRecovers() {
		recordFirstAttempts("a", "u", 30);
		recordAttemptResults(20, true);
		recordAttemptResults(5, false);
		assertThat(countAllowedRetries("a", "u", 1, 0)).isEqualTo(1);
	}

	private void recordFirstAttempts(String organisation, String upstream, int attempts) {
		for (int attempt = 0; attempt < attempts; attempt++) {
			this.budgets.recordFirstAttempt(organisation, List.of(upstream), PARAMETERS, 0);
		}
	}

	private void exhaustBudgets(String organisation, String upstream) {
		recordFirstAttempts(organisation, upstream, 50);
		countAllowedRetries(organisation, upstream, 5, 0);
	}

	private void recordAttemptResults(int attempts, boolean failed) {
		for (int attempt = 0; attempt < attempts; attempt++) {
			this.budgets.recordAttemptResult("model", failed, 0);
		}
	}

	private int countAllowedRetries(String organisation, String upstream, int requested, long nowNanos) {
		int allowed = 0;
		for (int retry = 0; retry < requested; retry++) {
			allowed += (this.budgets.tryAcquireRetry(organisation, "model", List.of(upstream), PARAMETERS, nowNanos))
					? 1 : 0;
		}
		return allowed;
	}

}
