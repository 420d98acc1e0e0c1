package org.burdocktray.process.freshness;

import java.util.concurrent.TimeUnit;

import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RulesFreshnessTests {

	private final RulesFreshness freshness = new RulesFreshness(4_000);

	@Test
	void nothingIsFreshBeforeTheFirstAnswer() {
		assertThat(this.freshness.isFresh(at(0, 0))).isFalse();
	}

	@Test
	void ageCountsFromWhenTheAnswerWasAskedFor() {
		this.freshness.recordConfirmation(at(1_000, 1_000));
		assertThat(this.freshness.isFresh(at(5_000, 5_000))).isTrue();
		assertThat(this.freshness.isFresh(at(5_001, 5_001))).isFalse();
	}

	@Test
	void suspensionThatTheMonotonicClockMissesCounts() {
		this.freshness.recordConfirmation(at(1_000, 1_000));
		assertThat(this.freshness.isFresh(at(1_100, 9_000))).isFalse();
	}

	@Test
	void timeOfDayThatJumpsBackDoesNotMakeItYounger() {
		this.freshness.recordConfirmation(at(1_000, 100_000));
		assertThat(this.freshness.isFresh(at(6_000, 50_000))).isFalse();
	}

	@Test
	void anOlderAnswerThatArrivesLaterChangesNothing() {
		this.freshness.recordConfirmation(at(3_000, 3_000));
		this.freshness.recordConfirmation(at(1_000, 1_000));
		assertThat(this.freshness.ageMillis(at(4_000, 4_000))).isEqualTo(1_000);
	}

	/**
	 * On scale-1 of yanki-tray VMs refused keys for half of each wait, since they waited
	 * for half of the bound.
	 */
	@Test
	void rulesStayFreshOverTwoWaitsOfWhichTheSecondIsOverdue() {
		long overdueMillis = 800;
		this.freshness.recordConfirmation(at(0, 0));
		long nextAnswer = 2 * this.freshness.maxWaitMillis() + overdueMillis;
		assertThat(this.freshness.isFresh(at(nextAnswer, nextAnswer))).isTrue();
		assertThat(this.freshness.maxWaitMillis()).isGreaterThan(1_000);
	}

	private static Timestamp at(long monotonicMillis, long epochMillis) {
		return new Timestamp(TimeUnit.MILLISECONDS.toNanos(monotonicMillis), epochMillis);
	}

}
