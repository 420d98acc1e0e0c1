package org.burdocktray.process.freshness;

import java.util.concurrent.TimeUnit;

import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RulesFreshnessTests {

	private final RulesFreshness freshness = new RulesFreshness(4_000);

	@Test
	void rulesAreNotFreshBeforeTheFirstConfirmation() {
		assertThat(this.freshness.isFresh(at(0, 0))).isFalse();
	}

	@Test
	void ageIsMeasuredFromTheTimeOfTheCall() {
		this.freshness.recordConfirmation(at(1_000, 1_000));
		assertThat(this.freshness.isFresh(at(5_000, 5_000))).isTrue();
		assertThat(this.freshness.isFresh(at(5_001, 5_001))).isFalse();
	}

	@Test
	void ageIncludesASuspensionThatTheMonotonicClockMisses() {
		this.freshness.recordConfirmation(at(1_000, 1_000));
		assertThat(this.freshness.isFresh(at(1_100, 9_000))).isFalse();
	}

	@Test
	void ageDoesNotDecreaseWhenTheTimeOfDayJumpsBack() {
		this.freshness.recordConfirmation(at(1_000, 100_000));
		assertThat(this.freshness.isFresh(at(6_000, 50_000))).isFalse();
	}

	@Test
	void lateConfirmationOfAnEarlierCallIsIgnored() {
		this.freshness.recordConfirmation(at(3_000, 3_000));
		this.freshness.recordConfirmation(at(1_000, 1_000));
		assertThat(this.freshness.ageMillis(at(4_000, 4_000))).isEqualTo(1_000);
	}

	/**
	 * With a maximum wait of half the bound, VMs rejected keys for half of each wait
	 * (seen on the platform yanki-tray at scale-1).
	 */
	@Test
	void rulesStayFreshOverTwoMaximumWaitsWhenTheSecondCallIsLate() {
		long delayMillis = 800;
		this.freshness.recordConfirmation(at(0, 0));
		long nextResponseMillis = 2 * this.freshness.maxWaitMillis() + delayMillis;
		assertThat(this.freshness.isFresh(at(nextResponseMillis, nextResponseMillis))).isTrue();
		assertThat(this.freshness.maxWaitMillis()).isGreaterThan(1_000);
	}

	private static Timestamp at(long monotonicMillis, long epochMillis) {
		return new Timestamp(TimeUnit.MILLISECONDS.toNanos(monotonicMillis), epochMillis);
	}

}
