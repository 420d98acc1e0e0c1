package org.burdocktray.process.watch;

import org.burdocktray.connection.platform.ChangeFeed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that are in contact again before they know that a connection has
 * fallen silent.
 */
class WatchWaitsTests {

	@ParameterizedTest
	@ValueSource(longs = { 1_500, 3_000, 5_000, 20_000 })
	void silentCallIsGivenUpAndRepeatedBeforeContact(long contactMillis) {
		WatchWaits waits = new WatchWaits(contactMillis, 2_000);
		assertThat(waits.maxMillis() + ChangeFeed.MAX_ANSWER_DELAY_MILLIS).isLessThan(contactMillis);
	}

	@Test
	void waitsOfWatchersLeaveTimeForAnotherOne() {
		assertThat(new WatchWaits(3_000, 2_000).sharedReplicasMillis()).isLessThan(700);
		assertThat(new WatchWaits(1_500, 20_000).sharedReplicasMillis()).isLessThan(1_500);
	}

}
