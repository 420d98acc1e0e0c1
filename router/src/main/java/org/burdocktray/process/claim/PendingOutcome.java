package org.burdocktray.process.claim;

import java.util.OptionalLong;

/**
 * An outcome that has to be recorded and is not known to be durable yet. Thread safety:
 * immutable.
 *
 * @param waiterId the waiter's id; empty if there is no waiter
 * @param ticket the claim
 * @param outcome the outcome
 * @param arrivedNanos when the outcome was reported
 * @param deadlineNanos the monotonic time by which the waiter needs a result
 */
record PendingOutcome(OptionalLong waiterId, ClaimTicket ticket, ClaimOutcome outcome, long arrivedNanos,
		long deadlineNanos) {

	static PendingOutcome of(ClaimEvent.OutcomeReported event, long nowNanos) {
		return new PendingOutcome(OptionalLong.of(event.waiterId()), event.ticket(), event.outcome(), nowNanos,
				event.deadlineNanos());
	}

	static PendingOutcome release(PendingClaim claim, long nowNanos) {
		return new PendingOutcome(OptionalLong.empty(), claim.proposal().ticket(), new ClaimOutcome.NotRun(), nowNanos,
				Long.MAX_VALUE);
	}

	PendingOutcome withoutWaiter() {
		return new PendingOutcome(OptionalLong.empty(), this.ticket, this.outcome, this.arrivedNanos, Long.MAX_VALUE);
	}

}
