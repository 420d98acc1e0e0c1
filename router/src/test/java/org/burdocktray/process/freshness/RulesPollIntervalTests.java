package org.burdocktray.process.freshness;

import java.util.concurrent.TimeUnit;

import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RulesPollIntervalTests {

	private final RulesFreshness freshness = new RulesFreshness(4_400);

	private final RulesPollInterval pollInterval = new RulesPollInterval(this.freshness, 0);

	@Test
	void waitIsMaximalWithoutRequests() {
		assertThat(this.pollInterval.nextWaitMillis(toNanos(1_000))).isEqualTo(this.freshness.maxWaitMillis());
	}

	@Test
	void waitIsMinimalWithManyRequests() {
		recordRequests(100);
		assertThat(this.pollInterval.nextWaitMillis(toNanos(1_000))).isEqualTo(this.freshness.minWaitMillis());
	}

	@Test
	void oneCallIsMadePerEightRequests() {
		recordRequests(8);
		assertThat(this.pollInterval.nextWaitMillis(toNanos(1_000))).isEqualTo(1_000);
	}

	@Test
	void requestsBeforeTheLastCallAreNotCounted() {
		recordRequests(100);
		this.pollInterval.nextWaitMillis(toNanos(1_000));
		assertThat(this.pollInterval.nextWaitMillis(toNanos(2_000))).isEqualTo(this.freshness.maxWaitMillis());
	}

	/**
	 * When the store becomes unavailable under load, the last confirmation is at most two
	 * waits old, so keys are accepted for the rest of the bound.
	 */
	@Test
	void busyVmAcceptsKeysForMostOfTheBoundAfterTheStoreBecomesUnavailable() {
		recordRequests(100);
		long waitMillis = this.pollInterval.nextWaitMillis(toNanos(1_000));
		this.freshness.recordConfirmation(new Timestamp(0, 0));
		long confirmationAgeMillis = 2 * waitMillis;
		long acceptedMillis = confirmationAgeMillis + 3_000;
		assertThat(this.freshness.isFresh(new Timestamp(toNanos(acceptedMillis), acceptedMillis))).isTrue();
	}

	private void recordRequests(int count) {
		for (int request = 0; request < count; request++) {
			this.pollInterval.recordKeyedRequest();
		}
	}

	private static long toNanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
