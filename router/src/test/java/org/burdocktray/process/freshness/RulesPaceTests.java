package org.burdocktray.process.freshness;

import java.util.concurrent.TimeUnit;

import org.burdocktray.process.freshness.RulesFreshness.Moment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RulesPaceTests {

	private final RulesFreshness freshness = new RulesFreshness(4_400);

	private final RulesPace pace = new RulesPace(this.freshness, 0);

	@Test
	void vmWithoutRequestsWaitsLongest() {
		assertThat(this.pace.waitMillis(millis(1_000))).isEqualTo(this.freshness.longestWaitMillis());
	}

	@Test
	void vmWithManyRequestsWaitsShortest() {
		requests(100);
		assertThat(this.pace.waitMillis(millis(1_000))).isEqualTo(this.freshness.shortestWaitMillis());
	}

	@Test
	void vmWithSomeRequestsMakesOneCallForEight() {
		requests(8);
		assertThat(this.pace.waitMillis(millis(1_000))).isEqualTo(1_000);
	}

	@Test
	void requestsBeforeTheLastCallDoNotCount() {
		requests(100);
		this.pace.waitMillis(millis(1_000));
		assertThat(this.pace.waitMillis(millis(2_000))).isEqualTo(this.freshness.longestWaitMillis());
	}

	/**
	 * The store is lost under load: the evidence is as old as two waits at most, so keys
	 * are accepted for the rest of the bound.
	 */
	@Test
	void busyVmAcceptsKeysForMostOfTheBoundOnceTheStoreIsLost() {
		requests(100);
		long waitMillis = this.pace.waitMillis(millis(1_000));
		this.freshness.confirmed(new Moment(0, 0));
		long lostMillis = 2 * waitMillis;
		long acceptedMillis = lostMillis + 3_000;
		assertThat(this.freshness.isFresh(new Moment(millis(acceptedMillis), acceptedMillis))).isTrue();
	}

	private void requests(int count) {
		for (int request = 0; request < count; request++) {
			this.pace.keyed();
		}
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
