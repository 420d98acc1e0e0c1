package org.burdocktray.process.placement;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.TestReplicas;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OrderTrackerTests {

	private static final LayerRange LAYERS = new LayerRange(0, 5);

	private final OrderTracker tracker = new OrderTracker();

	private final Replica engine = TestReplicas.emptyEngine("e", "ghent", "fast");

	@Test
	void secondOrderIsNotStartedWhileOneIsInProgress() {
		assertThat(this.tracker.begin(this.engine, LAYERS, 0)).isTrue();
		assertThat(this.tracker.begin(this.engine, LAYERS, seconds(100))).isFalse();
	}

	@Test
	void layersOfAcceptedOrderAreExpectedForALimitedTime() {
		sendOrder(0, true, false);
		assertThat(this.tracker.withExpectedLayers(this.engine, seconds(1)).layers()).contains(LAYERS);
		assertThat(this.tracker.withExpectedLayers(this.engine, seconds(60)).layers()).isEmpty();
	}

	@Test
	void unresolvedOrderBlocksFurtherOrdersUntilItCannotBeExecuted() {
		sendOrder(3, false, true);
		assertThat(this.tracker.begin(this.engine, LAYERS, seconds(5))).isTrue();
		assertThat(this.tracker.canSend(this.engine, TestReplicas.report(3, false, 0), seconds(5))).isFalse();
		assertThat(this.tracker.canSend(this.engine, TestReplicas.report(3, false, 0), seconds(14))).isTrue();
	}

	@Test
	void unresolvedOrderIsObsoleteAfterTheEngineStartedAnotherOrder() {
		sendOrder(3, false, true);
		this.tracker.begin(this.engine, LAYERS, seconds(5));
		assertThat(this.tracker.canSend(this.engine, TestReplicas.report(4, false, 0), seconds(5))).isTrue();
	}

	@Test
	void orderIsNotSentToAnEngineThatExecutesOne() {
		this.tracker.begin(this.engine, LAYERS, 0);
		assertThat(this.tracker.canSend(this.engine, TestReplicas.report(0, true, 0), 0)).isFalse();
	}

	@Test
	void stateOfAnEngineIsDroppedWhenItRestarts() {
		sendOrder(3, false, true);
		Replica restarted = new Replica("e", 2, "s", this.engine.address(), this.engine.dataCentre(), 4, false,
				Optional.of("fast"), Optional.empty());
		assertThat(this.tracker.begin(restarted, LAYERS, 1)).isTrue();
	}

	private void sendOrder(long sequence, boolean accepted, boolean unresolved) {
		assertThat(this.tracker.begin(this.engine, LAYERS, 0)).isTrue();
		this.tracker.recordSend(this.engine, TestReplicas.report(sequence, false, 0), 0);
		this.tracker.recordOutcome(this.engine, accepted, unresolved, 0);
	}

	private static long seconds(long count) {
		return TimeUnit.SECONDS.toNanos(count);
	}

}
