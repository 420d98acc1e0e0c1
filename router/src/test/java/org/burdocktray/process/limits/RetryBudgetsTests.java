package org.burdocktray.process.limits;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetsTests {

	private static final RetryBudgetParameters PARAMETERS = new RetryBudgetParameters(0.1, 0.5, 5, 0.9, 10);

	private final RetryBudgets budgets = new RetryBudgets(PARAMETERS, 0);

	@Test
	void noRetryBeforeAnyFirstAttempt() {
		assertThat(retries("a", "u", 100, 0)).isZero();
	}

	@Test
	void firstAttemptsEarnRetriesByTheRatio() {
		firstAttempts("a", "u", 30);
		assertThat(retries("a", "u", 100, 0)).isEqualTo(3);
	}

	@Test
	void savesNoMoreThanTheBurst() {
		firstAttempts("a", "u", 1000);
		assertThat(retries("a", "u", 100, 0)).isEqualTo(5);
	}

	@Test
	void floorAllowsFewRetriesWithoutFirstAttempts() {
		retries("a", "u", 1, 0);
		assertThat(retries("a", "u", 100, TimeUnit.SECONDS.toNanos(4))).isEqualTo(2);
	}

	@Test
	void upstreamGetsRetriesInProportionToItsOwnFirstAttempts() {
		spend("a", "idle");
		firstAttempts("a", "busy", 40);
		firstAttempts("a", "idle", 10);
		assertThat(retries("a", "idle", 100, 0)).isEqualTo(1);
	}

	@Test
	void organisationGetsRetriesInProportionToItsOwnFirstAttempts() {
		spend("small", "u");
		firstAttempts("large", "u", 40);
		firstAttempts("small", "u", 10);
		assertThat(retries("small", "u", 100, 0)).isEqualTo(1);
	}

	@Test
	void allOrganisationsTogetherAreBounded() {
		int allowed = 0;
		for (int organisation = 0; organisation < 10; organisation++) {
			firstAttempts("o" + organisation, "u" + organisation, 10);
		}
		for (int organisation = 0; organisation < 10; organisation++) {
			allowed += retries("o" + organisation, "u" + organisation, 10, 0);
		}
		assertThat(allowed).isEqualTo(5);
	}

	@Test
	void refusedRetryCostsNothing() {
		spend("other", "idle");
		firstAttempts("a", "u", 30);
		retries("a", "idle", 100, 0);
		assertThat(retries("a", "u", 100, 0)).isEqualTo(3);
	}

	@Test
	void noRetryWhileTheWholeGroupFails() {
		firstAttempts("a", "u", 30);
		attemptsEnded(20, true);
		assertThat(retries("a", "u", 1, 0)).isZero();
	}

	@Test
	void retriesAgainOnceTheGroupRecovers() {
		firstAttempts("a", "u", 30);
		attemptsEnded(20, true);
		attemptsEnded(5, false);
		assertThat(retries("a", "u", 1, 0)).isEqualTo(1);
	}

	private void firstAttempts(String organisation, String upstream, int attempts) {
		for (int attempt = 0; attempt < attempts; attempt++) {
			this.budgets.recordFirstAttempt(organisation, List.of(upstream), PARAMETERS, 0);
		}
	}

	private void spend(String organisation, String upstream) {
		firstAttempts(organisation, upstream, 50);
		retries(organisation, upstream, 5, 0);
	}

	private void attemptsEnded(int attempts, boolean failed) {
		for (int attempt = 0; attempt < attempts; attempt++) {
			this.budgets.recordAttemptResult("model", failed, 0);
		}
	}

	private int retries(String organisation, String upstream, int wanted, long nowNanos) {
		int allowed = 0;
		for (int retry = 0; retry < wanted; retry++) {
			allowed += (this.budgets.tryAcquireRetry(organisation, "model", List.of(upstream), PARAMETERS, nowNanos))
					? 1 : 0;
		}
		return allowed;
	}

}
