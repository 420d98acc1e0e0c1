package org.burdocktray.bench.quarantine;

import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the maximum number of upstreams that one crashing request can crash, through any
 * sequence of VMs.
 */
class QuarantinePropertyTests {

	private static final int MAX_LOST_UPSTREAMS = 2;

	static LongStream seeds() {
		return LongStream.rangeClosed(1, 30);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void crashingRequestCrashesAtMostTwoUpstreams(long seed) {
		CrashOutcome outcome = new CrashSession(new CrashScenario(seed, 9, 35, 3, 20, 0, 0, true)).run();
		assertThat(outcome.maxLostPerCrashingRequest()).isLessThanOrEqualTo(MAX_LOST_UPSTREAMS);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void crashingRequestCrashesAtMostTwoUpstreamsDuringUnrelatedCrashes(long seed) {
		CrashOutcome outcome = new CrashSession(new CrashScenario(seed, 9, 35, 2, 20, 8, 2, true)).run();
		assertThat(outcome.maxLostPerCrashingRequest()).isLessThanOrEqualTo(MAX_LOST_UPSTREAMS);
	}

	@Test
	void crashingRequestCrashesMoreThanTwoUpstreamsWithoutQuarantine() {
		CrashOutcome outcome = new CrashSession(new CrashScenario(1, 9, 35, 3, 20, 0, 0, false)).run();
		assertThat(outcome.maxLostPerCrashingRequest()).isGreaterThan(MAX_LOST_UPSTREAMS);
	}

}
