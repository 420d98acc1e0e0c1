package org.burdocktray.request.forward;

import java.util.List;

import org.burdocktray.model.Verdict;
import org.burdocktray.version.rules.RequestKind;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.WeightedService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ForwardStateTests {

	@Test
	void nonIdempotentRequestThatMayHaveRunIsNotRetried() {
		ForwardState state = stateAfterAttempt(RequestKind.NON_IDEMPOTENT, AttemptOutcome.LOST);
		assertThat(state.canRetry()).isFalse();
		assertThat(state.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void rejectedNonIdempotentRequestIsRetried() {
		ForwardState state = stateAfterAttempt(RequestKind.NON_IDEMPOTENT, AttemptOutcome.REJECTED);
		assertThat(state.canRetry()).isTrue();
		assertThat(state.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void verdictStaysMayHaveRunWhenRejectionFollowsLostAttempt() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.LOST);
		state.recordSend();
		state.recordOutcome(AttemptOutcome.REJECTED);
		assertThat(state.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void runsAreLimitedByMaxAttemptsOfRoute() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.FAILED);
		assertThat(state.canRetry()).isTrue();
		state.recordSend();
		state.recordOutcome(AttemptOutcome.FAILED);
		assertThat(state.canRetry()).isFalse();
	}

	/**
	 * Guards against streams that were broken off when links were reset one after the
	 * other.
	 */
	@Test
	void runOnReplicaThatIsCutOffDoesNotCount() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.LOST);
		assertThat(state.canDiscountRun()).as("below the limit of the route").isFalse();
		loseRun(state);
		assertThat(state.canDiscountRun()).isTrue();
		state.discountRun();
		assertThat(state.canRetry()).isTrue();
	}

	@Test
	void runsOnReplicasThatEndAreLimited() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.LOST);
		state.recordResponseStart();
		int runs = 1;
		while (state.canRetry() || state.canDiscountRun()) {
			if (!state.canRetry()) {
				state.discountRun();
			}
			loseRun(state);
			runs++;
		}
		assertThat(runs).isBetween(3, 5);
	}

	@Test
	void runOfNonIdempotentRequestAlwaysCounts() {
		ForwardState state = stateAfterAttempt(RequestKind.NON_IDEMPOTENT, AttemptOutcome.LOST);
		assertThat(state.canDiscountRun()).isFalse();
	}

	private static void loseRun(ForwardState state) {
		state.recordSend();
		state.recordOutcome(AttemptOutcome.LOST);
	}

	@Test
	void rejectedAttemptsAreLimited() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.REJECTED);
		int sends = 1;
		while (state.canRetry()) {
			state.recordSend();
			state.recordOutcome(AttemptOutcome.REJECTED);
			sends++;
		}
		assertThat(sends).isBetween(2, 10);
	}

	@Test
	void lastAllowedRunHasNoSecondRunBesideIt() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.REJECTED);
		state.recordSend();
		assertThat(state.canStartSecondRun()).isTrue();
		state.recordOutcome(AttemptOutcome.LOST);
		state.recordSend();
		assertThat(state.canStartSecondRun()).isFalse();
	}

	/**
	 * Guards against streams that were broken off because no replica had room at once.
	 */
	@Test
	void rejectionsDoNotLimitAttemptsOfStartedResponse() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.LOST);
		state.recordResponseStart();
		for (int attempt = 0; attempt < 10; attempt++) {
			assertThat(state.canRetry()).isTrue();
			state.recordSend();
			state.recordOutcome(AttemptOutcome.REJECTED);
		}
	}

	/**
	 * Guards against requests that were given up because replicas accepted no connection.
	 */
	@Test
	void attemptsThatWereNotSentDoNotLimitAttempts() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.NOT_SENT);
		for (int attempt = 0; attempt < 10; attempt++) {
			assertThat(state.canRetry()).isTrue();
			state.recordSend();
			state.recordOutcome(AttemptOutcome.NOT_SENT);
		}
	}

	@Test
	void requestThatIsNotRepeatableHasNoSecondRun() {
		ForwardState state = stateAfterAttempt(RequestKind.NON_IDEMPOTENT, AttemptOutcome.REJECTED);
		state.recordSend();
		assertThat(state.canStartSecondRun()).isFalse();
	}

	/** A new VM has no retries, and refused requests whose replica was leaving. */
	@Test
	void attemptThatWasNotSentIsNotChargedAsRetry() {
		ForwardState state = stateAfterAttempt(RequestKind.IDEMPOTENT, AttemptOutcome.NOT_SENT);
		assertThat(state.canRetry()).isTrue();
		assertThat(state.isRetry()).isFalse();
	}

	/**
	 * Guards against requests that were refused since no retry was left, while no replica
	 * had received them: a VM had relayed them to one that was cut off as well.
	 */
	@Test
	void attemptThatAnotherVmDeclinesIsLimitedButNotCharged() {
		ForwardState state = stateAfterAttempt(RequestKind.NON_IDEMPOTENT, AttemptOutcome.NOT_SENT);
		int sends = 0;
		while (state.canRetry()) {
			state.recordSend();
			state.recordOutcome(AttemptOutcome.DECLINED);
			sends++;
		}
		assertThat(sends).isEqualTo(4);
		assertThat(state.isRetry()).isFalse();
		assertThat(state.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	private static ForwardState stateAfterAttempt(RequestKind kind, AttemptOutcome outcome) {
		RouteRule route = new RouteRule("r", "h", "/", kind, false, 1_000, 100, 0, 0, 2, false,
				List.of(new WeightedService("s", 1)));
		ForwardState state = new ForwardState(route);
		assertThat(state.isRetry()).isFalse();
		state.recordSend();
		state.recordOutcome(outcome);
		assertThat(state.isRetry()).isEqualTo(outcome != AttemptOutcome.NOT_SENT);
		return state;
	}

}
