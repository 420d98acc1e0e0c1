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
 * No new work goes to a leaving upstream 3 s after the first sign.
 */
class DrainPropertyTests {

	private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final long NEVER = Long.MAX_VALUE / 1_000_000_000;

	static Stream<Arguments> signsAndSeeds() {
		return Stream.of(DrainScenario.FirstIndication.values())
			.flatMap((sign) -> LongStream.rangeClosed(1, 20).mapToObj((seed) -> Arguments.of(sign, seed)));
	}

	@ParameterizedTest
	@MethodSource("signsAndSeeds")
	void noNewWorkThreeSecondsAfterTheFirstSign(DrainScenario.FirstIndication sign, long seed) {
		DrainSession session = new DrainSession(new DrainScenario(seed, 18, sign, Optional.empty(), NEVER, true));
		session.run(60_000);
		assertThat(session.maxStartDelayAfterIndicationNanos()).isLessThanOrEqualTo(BOUND_NANOS);
	}

	@ParameterizedTest
	@MethodSource("signsAndSeeds")
	void noNewWorkThreeSecondsAfterTheFirstSignOnEitherSideOfACut(DrainScenario.FirstIndication sign, long seed) {
		DrainSession session = new DrainSession(
				new DrainScenario(seed, 18, sign, Optional.of(DrainSession.DATA_CENTRES.get(2)), NEVER, true));
		session.run(60_000);
		assertThat(session.maxStartDelayAfterIndicationNanos()).isLessThanOrEqualTo(BOUND_NANOS);
	}

	@ParameterizedTest
	@MethodSource("signsAndSeeds")
	void noNewWorkThreeSecondsAfterACutHeals(DrainScenario.FirstIndication sign, long seed) {
		DrainSession session = new DrainSession(
				new DrainScenario(seed, 18, sign, Optional.of(DrainSession.DATA_CENTRES.get(2)), 40_000, true));
		session.run(60_000);
		assertThat(session.maxStartDelayAfterIndicationNanos()).isLessThanOrEqualTo(BOUND_NANOS);
	}

	@ParameterizedTest
	@EnumSource(DrainScenario.FirstIndication.class)
	void aReplacedUpstreamIsUsedByAllAgain(DrainScenario.FirstIndication sign) {
		DrainSession session = new DrainSession(new DrainScenario(7, 18, sign, Optional.empty(), NEVER, true));
		session.run(60_000);
		session.replaceUpstream(90_000);
		assertThat(session.isUsedByAllVms()).isTrue();
	}

	@Test
	void withoutGossipNewWorkGoesOnForTheListsLag() {
		DrainSession session = new DrainSession(
				new DrainScenario(1, 18, DrainScenario.FirstIndication.REFUSAL, Optional.empty(), NEVER, false));
		session.run(60_000);
		assertThat(session.maxStartDelayAfterIndicationNanos()).isGreaterThan(BOUND_NANOS);
	}

}
