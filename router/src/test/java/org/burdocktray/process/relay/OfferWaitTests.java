package org.burdocktray.process.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.NetworkAddress;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that were refused because the VM that was cut off had not read
 * the list of VMs since another one joined, and the only VM that it knew declined.
 */
class OfferWaitTests {

	private static final long REPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(OfferWait.REPLY_MILLIS);

	private static final NetworkAddress FIRST = new NetworkAddress("10.0.0.1", 7340);

	private static final NetworkAddress SECOND = new NetworkAddress("10.0.0.2", 7340);

	private final OfferWait wait = new OfferWait();

	@Test
	void vmThatJoinedSinceTheLastListIsAskedAndAwaited() {
		this.wait.recordVms(List.of(FIRST), 0);
		assertThat(this.wait.begin(0)).as("list is read").isTrue();
		long listedNanos = REPLY_NANOS + 1;
		assertThat(this.wait.isOngoing(listedNanos)).as("while the list is read").isTrue();
		assertThat(this.wait.recordVms(List.of(FIRST, SECOND), listedNanos)).isTrue();
		assertThat(this.wait.isOngoing(listedNanos + REPLY_NANOS - 1)).as("until the new VM can have replied").isTrue();
		assertThat(this.wait.isOngoing(listedNanos + REPLY_NANOS)).isFalse();
	}

	@Test
	void knownVmsAreNotAskedAgain() {
		this.wait.recordVms(List.of(FIRST, SECOND), 0);
		this.wait.begin(0);
		assertThat(this.wait.recordVms(List.of(FIRST, SECOND), 1)).isFalse();
		assertThat(this.wait.isOngoing(REPLY_NANOS)).isFalse();
	}

	@Test
	void listThatCannotBeReadIsAwaitedForABoundedTime() {
		this.wait.begin(0);
		assertThat(this.wait.isOngoing(OfferWait.LISTING_NANOS - 1)).isTrue();
		assertThat(this.wait.isOngoing(OfferWait.LISTING_NANOS)).isFalse();
	}

	@Test
	void linksThatFailAgainAndAgainDoNotLoadTheStore() {
		this.wait.begin(0);
		this.wait.end();
		assertThat(this.wait.begin(OfferWait.LISTING_INTERVAL_NANOS - 1)).isFalse();
		this.wait.end();
		assertThat(this.wait.begin(OfferWait.LISTING_INTERVAL_NANOS)).isTrue();
	}

	@Test
	void vmThatIsNotCutOffAsksNobody() {
		assertThat(this.wait.recordVms(List.of(FIRST), 0)).isFalse();
		assertThat(this.wait.isOngoing(0)).isFalse();
	}

}
