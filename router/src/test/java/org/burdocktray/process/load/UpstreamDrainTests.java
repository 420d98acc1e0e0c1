package org.burdocktray.process.load;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which indications mark an upstream as leaving and which clear the mark.
 */
class UpstreamDrainTests {

	private static final String ENGINE = "engine-3";

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final UpstreamDrain drain = new UpstreamDrain();

	private final UpstreamDrain peer = new UpstreamDrain();

	@Test
	void listWithinMaximumLagDoesNotClearMark() {
		this.drain.onLeavingRefusal(ENGINE, 0);
		applyPlatformList(this.drain, false, 29 * SECOND_NANOS);
		assertThat(this.drain.isLeaving(ENGINE)).isTrue();
	}

	@Test
	void listAfterMaximumLagClearsMark() {
		applyPlatformList(this.drain, true, 0);
		applyPlatformList(this.drain, false, 31 * SECOND_NANOS);
		assertThat(this.drain.isLeaving(ENGINE)).isFalse();
	}

	@Test
	void eachIndicationOfLeavingRestartsLag() {
		applyPlatformList(this.drain, true, 0);
		applyPlatformList(this.drain, true, 20 * SECOND_NANOS);
		applyPlatformList(this.drain, false, 31 * SECOND_NANOS);
		assertThat(this.drain.isLeaving(ENGINE)).isTrue();
	}

	@Test
	void reportRequestedBeforeRefusalDoesNotClearMark() {
		this.drain.onLeavingRefusal(ENGINE, 2 * SECOND_NANOS);
		this.drain.onLoadReport(ENGINE, false, SECOND_NANOS, 3 * SECOND_NANOS);
		assertThat(this.drain.isLeaving(ENGINE)).isTrue();
	}

	@Test
	void reportRequestedAfterRefusalClearsMark() {
		this.drain.onLeavingRefusal(ENGINE, SECOND_NANOS);
		this.drain.onLoadReport(ENGINE, false, 2 * SECOND_NANOS, 3 * SECOND_NANOS);
		assertThat(this.drain.isLeaving(ENGINE)).isFalse();
	}

	@Test
	void reportOfUpstreamDoesNotClearMarkOfPlatform() {
		applyPlatformList(this.drain, true, 0);
		this.drain.onLoadReport(ENGINE, false, SECOND_NANOS, 2 * SECOND_NANOS);
		assertThat(this.drain.isLeaving(ENGINE)).isTrue();
	}

	@Test
	void olderMarkOfPeerDoesNotRevertReturn() {
		applyPlatformList(this.drain, true, 0);
		this.peer.merge(this.drain.table(0), 0);
		applyPlatformList(this.drain, false, 31 * SECOND_NANOS);
		this.drain.merge(this.peer.table(0), 32 * SECOND_NANOS);
		assertThat(this.drain.isLeaving(ENGINE)).isFalse();
	}

	@Test
	void mergesReturnReportedByPeer() {
		applyPlatformList(this.drain, true, 0);
		this.peer.merge(this.drain.table(0), 0);
		applyPlatformList(this.drain, false, 31 * SECOND_NANOS);
		this.peer.merge(this.drain.table(0), 32 * SECOND_NANOS);
		assertThat(this.peer.isLeaving(ENGINE)).isFalse();
	}

	@Test
	void propagatesOnlyChangedMarks() {
		this.drain.onLeavingRefusal(ENGINE, 0);
		assertThat(this.peer.merge(this.drain.table(0), 0)).hasSize(1);
		assertThat(this.peer.merge(this.drain.table(0), 0)).isEmpty();
	}

	private static void applyPlatformList(UpstreamDrain drain, boolean leaving, long nowNanos) {
		drain.onPlatformList(List.of(new ListedUpstream(ENGINE, leaving)), nowNanos);
	}

}
