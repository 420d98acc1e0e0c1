package org.burdocktray.request.overload;

import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rejected callers that return as a herd, in vain, or before those that
 * obey.
 */
class RejectedCallersTests {

	private static final long REMAINING_MILLIS = 1_800;

	@Test
	void callersReturnWithinAThirdOfTheirTime() {
		SplittableRandom random = new SplittableRandom(3);
		for (int rejection = 0; rejection < 1_000; rejection++) {
			assertThat(seconds(2, 0.4, false, random.nextDouble())).isBetween(0.0, REMAINING_MILLIS / 3_000.0);
		}
	}

	@Test
	void returnsAreSpread() {
		assertThat(seconds(2, 0.4, false, 0.9)).isGreaterThan(2 * seconds(2, 0.4, false, 0.1));
	}

	@Test
	void urgentAndRepeatedRequestsReturnFirst() {
		assertThat(seconds(0, 0.4, false, 0.5)).isLessThan(seconds(2, 0.4, false, 0.5));
		assertThat(seconds(1, 0.4, true, 0.5)).isLessThan(seconds(1, 0.4, false, 0.5));
	}

	@Test
	void noTimeIsGivenWhereAnotherTryIsInVain() {
		assertThat(RetryTime.seconds(rejected(2, false), 0.05, false, 0.5)).isEqualTo(OptionalDouble.empty());
		assertThat(RetryTime.seconds(rejected(2, false), 0.05, true, 0.5)).isPresent();
		assertThat(RetryTime.seconds(new RetryTime.RejectedRequest(0, 0, 1, false), 0.9, false, 0.5)).isEmpty();
	}

	@Test
	void callersThatReturnTooSoonAreKnown() {
		ReturningRequests returning = new ReturningRequests();
		returning.record("o", "r1", millis(500), 0);
		assertThat(returning.kind("o", "r1", millis(100))).isEqualTo(ReturningRequests.Kind.EARLY);
		assertThat(returning.kind("o", "r1", millis(490))).isEqualTo(ReturningRequests.Kind.DUE);
		assertThat(returning.kind("o", "r2", millis(490))).isEqualTo(ReturningRequests.Kind.NEW);
		returning.remove("other", "r1");
		assertThat(returning.kind("o", "r1", millis(490))).isEqualTo(ReturningRequests.Kind.DUE);
		assertThat(returning.kind("o", "r1", millis(20_000))).isEqualTo(ReturningRequests.Kind.NEW);
	}

	/** Guards against one rejection that gives its id an advantage many times. */
	@Test
	void admittedRequestsAreNew() {
		ReturningRequests returning = new ReturningRequests();
		returning.record("o", "r1", millis(500), 0);
		returning.remove("o", "r1");
		assertThat(returning.kind("o", "r1", millis(600))).isEqualTo(ReturningRequests.Kind.NEW);
	}

	/** Guards against a stream that waits behind new requests of its priority. */
	@Test
	void interruptedStreamsGoFirstAtEngines() {
		EnginePriority urgent = new EnginePriority(0);
		EnginePriority other = new EnginePriority(1);
		assertThat(urgent.value(true)).isLessThan(urgent.value(false));
		assertThat(urgent.value(false)).isLessThan(other.value(true));
		assertThat(new EnginePriority(1_000).value(false)).isEqualTo(9);
	}

	private static double seconds(int rank, double share, boolean isRepeated, double draw) {
		return RetryTime.seconds(rejected(rank, isRepeated), share, false, draw).orElseThrow();
	}

	private static RetryTime.RejectedRequest rejected(int rank, boolean isRepeated) {
		return new RetryTime.RejectedRequest(REMAINING_MILLIS, rank, 3, isRepeated);
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
