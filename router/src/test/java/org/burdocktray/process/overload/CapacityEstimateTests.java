package org.burdocktray.process.overload;

import java.util.List;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.TestReplicas;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class CapacityEstimateTests {

	private static final int PROMPT = 500;

	private static final int OUTPUT = 200;

	private final ReplicaLoads loads = new ReplicaLoads();

	private final Replica head = TestReplicas.engine("head", "ghent", "fast", 0, 5);

	private final Replica tail = TestReplicas.engine("tail", "ghent", "fast", 5, 10);

	/** Guards against requests that are admitted for engines that form no path. */
	@Test
	void enginesThatDoNotHoldAllLayersServeNothing() {
		CapacityEstimate estimate = estimate(0, this.head);
		assertThat(estimate.requestsPerSecond(PROMPT, OUTPUT)).isZero();
		assertThat(estimate.expectedResponse(PROMPT, OUTPUT)).isEmpty();
	}

	/** Guards against capacity that only the layers held most often have. */
	@Test
	void layerHeldByFewEnginesIsTheBottleneck() {
		Replica otherHead = TestReplicas.engine("otherHead", "ghent", "fast", 0, 5);
		double one = estimate(0, this.head, this.tail).requestsPerSecond(PROMPT, OUTPUT);
		double two = estimate(0, this.head, otherHead, this.tail).requestsPerSecond(PROMPT, OUTPUT);
		assertThat(one).isPositive();
		assertThat(two).isCloseTo(one, within(1e-6));
	}

	/** Guards against admission as if all accelerators were equally fast. */
	@Test
	void slowEnginesServeLess() {
		double fast = estimate(0, this.head, this.tail).requestsPerSecond(PROMPT, OUTPUT);
		double slow = estimate(0, TestReplicas.engine("a", "ghent", "slow", 0, 3),
				TestReplicas.engine("b", "ghent", "slow", 3, 6), TestReplicas.engine("c", "ghent", "slow", 6, 8),
				TestReplicas.engine("d", "ghent", "slow", 8, 10))
			.requestsPerSecond(PROMPT, OUTPUT);
		assertThat(slow).isPositive().isLessThan(fast / 4);
	}

	/** Guards against batches so large that the pauses of all streams are too long. */
	@Test
	void targetForPausesLimitsTheRate() {
		assertThat(estimate(7, this.head, this.tail).requestsPerSecond(PROMPT, OUTPUT))
			.isLessThan(estimate(0, this.head, this.tail).requestsPerSecond(PROMPT, OUTPUT));
	}

	@Test
	void longRequestsNeedMore() {
		CapacityEstimate estimate = estimate(0, this.head, this.tail);
		assertThat(estimate.requestsPerSecond(4 * PROMPT, OUTPUT))
			.isLessThan(estimate.requestsPerSecond(PROMPT, OUTPUT));
	}

	/** Guards against sends to a path whose prompts already queue. */
	@Test
	void pendingPromptsDelayTheFirstEvent() {
		double before = firstEventMillis();
		for (int request = 0; request < 10; request++) {
			this.loads.recordSend(this.head, 1, 0);
		}
		assertThat(firstEventMillis()).isGreaterThan(2 * before);
	}

	/** Guards against sends to engines that would preempt another request. */
	@Test
	void pathWithoutMemoryHasNoFirstEvent() {
		this.loads.recordSend(this.tail, Long.MAX_VALUE / 2, 0);
		assertThat(estimate(0, this.head, this.tail).expectedResponse(PROMPT, OUTPUT)).isEmpty();
	}

	private double firstEventMillis() {
		return estimate(0, this.head, this.tail).expectedResponse(PROMPT, OUTPUT).orElseThrow().firstEventMillis();
	}

	private CapacityEstimate estimate(long maxGapMillis, Replica... engines) {
		return CapacityEstimate.of(List.of(engines), this.loads, TestReplicas.PROFILE, maxGapMillis, 0);
	}

}
