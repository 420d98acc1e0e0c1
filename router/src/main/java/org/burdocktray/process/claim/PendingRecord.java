package org.burdocktray.process.claim;

import java.util.OptionalLong;

/**
 * An outcome that has to be recorded and is not known to be durable yet. Thread safety: immutable.
 *
 * @param recordId the waiter's id; empty if there is no waiter
 * @param ticket the claim
 * @param outcome the outcome
 * @param arrivedNanos when the outcome was reported
 * @param deadlineNanos the monotonic time by which the waiter needs a result
 */
record PendingRecord(OptionalLong recordId, ClaimTicket ticket, ClaimOutcome outcome, long arrivedNanos,
		long deadlineNanos) {

	static PendingRecord of(ClaimEvent.OutcomeReported event, long nowNanos) {
		return new PendingRecord(OptionalLong.of(event.recordId()), event.ticket(), event.outcome(), nowNanos,
				event.deadlineNanos());
	}

	static PendingRecord release(PendingClaim claim, long nowNanos) {
		return new PendingRecord(OptionalLong.empty(), claim.proposal().ticket(), new ClaimOutcome.NotRun(), nowNanos,
				Long.MAX_VALUE);
	}

	PendingRecord withoutWaiter() {
		return new PendingRecord(OptionalLong.empty(), this.ticket, this.outcome, this.arrivedNanos, Long.MAX_VALUE);
	}

}
