package org.burdocktray.bench.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that no VM sends new work to a leaving upstream more than 3 s after the first
 * indication, with and without a network partition.
 */
class DrainPropertyTests {

	private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final long HEAL_NEVER_MILLIS = Long.MAX_VALUE / 1_000_000_000;

	static Stream<Arguments> indicationsAndSeeds() {
		return Stream.of(DrainScenario.FirstIndication.values())
			.flatMap((indication) -> LongStream.rangeClosed(1, 20).mapToObj((seed) -> Arguments.of(indication, seed)));
	}

	@ParameterizedTest
	@MethodSource("indicationsAndSeeds")
	void noNewWorkThreeSecondsAfterFirstIndication(DrainScenario.FirstIndication indication, long seed) {
		DrainSession session = new DrainSession(
				new DrainScenario(seed, 18, indication, Optional.empty(), HEAL_NEVER_MILLIS, true));
		session.run(60_000);
		assertThat(session.maxStartDelayAfterIndicationNanos()).isLessThanOrEqualTo(MAX_DELAY_NANOS);
	}

	@ParameterizedTest
	@MethodSource("indicationsAndSeeds")
	void noNewWorkThreeSecondsAfterFirstIndicationInEitherPartition(DrainScenario.FirstIndication indication,
			long seed) {
		DrainSession session = new DrainSession(new DrainScenario(seed, 18, indication,
				Optional.of(DrainSession.DATA_CENTRES.get(2)), HEAL_NEVER_MILLIS, true));
		session.run(60_000);
		assertThat(session.maxStartDelayAfterIndicationNanos()).isLessThanOrEqualTo(MAX_DELAY_NANOS);
	}

	@ParameterizedTest
	@MethodSource("indicationsAndSeeds")
	void noNewWorkThreeSecondsAfterPartitionHeals(DrainScenario.FirstIndication indication, long seed) {
		DrainSession session = new DrainSession(
				new DrainScenario(seed, 18, indication, Optional.of(DrainSession.DATA_CENTRES.get(2)), 40_000, true));
		session.run(60_000);
		assertThat(session.maxStartDelayAfterIndicationNanos()).isLessThanOrEqualTo(MAX_DELAY_NANOS);
	}

	@ParameterizedTest
	@EnumSource(DrainScenario.FirstIndication.class)
	void replacedUpstreamReceivesWorkFromAllVmsAgain(DrainScenario.FirstIndication indication) {
		DrainSession session = new DrainSession(
				new DrainScenario(7, 18, indication, Optional.empty(), HEAL_NEVER_MILLIS, true));
		session.run(60_000);
		session.replaceUpstream(90_000);
		assertThat(session.isUsedByAllVms()).isTrue();
	}

	@Test
	void newWorkContinuesWithoutGossipUntilListIsCurrent() {
		DrainSession session = new DrainSession(new DrainScenario(1, 18, DrainScenario.FirstIndication.REFUSAL,
				Optional.empty(), HEAL_NEVER_MILLIS, false));
		session.run(60_000);
		assertThat(session.maxStartDelayAfterIndicationNanos()).isGreaterThan(MAX_DELAY_NANOS);
	}

}
