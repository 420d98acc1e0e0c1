package org.burdocktray.process.freshness;

import java.util.concurrent.TimeUnit;

import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RulesPollIntervalTests {

	private final RulesFreshness freshness = new RulesFreshness(4_400);

	private final RulesPollInterval pace = new RulesPollInterval(this.freshness, 0);

	@Test
	void vmWithoutRequestsWaitsLongest() {
		assertThat(this.pace.nextWaitMillis(millis(1_000))).isEqualTo(this.freshness.maxWaitMillis());
	}

	@Test
	void vmWithManyRequestsWaitsShortest() {
		requests(100);
		assertThat(this.pace.nextWaitMillis(millis(1_000))).isEqualTo(this.freshness.minWaitMillis());
	}

	@Test
	void vmWithSomeRequestsMakesOneCallForEight() {
		requests(8);
		assertThat(this.pace.nextWaitMillis(millis(1_000))).isEqualTo(1_000);
	}

	@Test
	void requestsBeforeTheLastCallDoNotCount() {
		requests(100);
		this.pace.nextWaitMillis(millis(1_000));
		assertThat(this.pace.nextWaitMillis(millis(2_000))).isEqualTo(this.freshness.maxWaitMillis());
	}

	/**
	 * The store is lost under load: the evidence is as old as two waits at most, so keys
	 * are accepted for the rest of the bound.
	 */
	@Test
	void busyVmAcceptsKeysForMostOfTheBoundOnceTheStoreIsLost() {
		requests(100);
		long waitMillis = this.pace.nextWaitMillis(millis(1_000));
		this.freshness.recordConfirmation(new Timestamp(0, 0));
		long lostMillis = 2 * waitMillis;
		long acceptedMillis = lostMillis + 3_000;
		assertThat(this.freshness.isFresh(new Timestamp(millis(acceptedMillis), acceptedMillis))).isTrue();
	}

	private void requests(int count) {
		for (int request = 0; request < count; request++) {
			this.pace.recordKeyedRequest();
		}
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
