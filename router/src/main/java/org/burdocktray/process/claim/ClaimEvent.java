package org.burdocktray.process.claim;

import java.util.Optional;

import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * An event that {@link ClaimShard} processes. Thread safety: immutable.
 */
sealed interface ClaimEvent {

	/**
	 * A claim is requested.
	 *
	 * @param proposal the claim
	 * @param deadlineNanos the monotonic time by which the decision is due
	 * @param origin how the claim reached this VM
	 */
	record ClaimRequested(ClaimProposal proposal, long deadlineNanos, ClaimOrigin origin) implements ClaimEvent {

	}

	/**
	 * The outcome of a claim has to be recorded.
	 *
	 * @param waiterId the waiter's id
	 * @param ticket the claim
	 * @param outcome the outcome
	 * @param deadlineNanos the monotonic time by which the waiter needs a result
	 */
	record OutcomeReported(long waiterId, ClaimTicket ticket, ClaimOutcome outcome,
			long deadlineNanos) implements ClaimEvent {

	}

	/**
	 * The shard's object was read.
	 *
	 * @param object the object; empty if it does not exist
	 */
	record ObjectRead(Optional<StoredObject> object) implements ClaimEvent {

	}

	/**
	 * The shard's object could not be read.
	 */
	record ReadFailed() implements ClaimEvent {

	}

	/**
	 * The write in flight was applied.
	 *
	 * @param version the new version
	 */
	record WriteApplied(StoreRevision version) implements ClaimEvent {

	}

	/**
	 * The write in flight was not applied, or its response is lost.
	 *
	 * @param error the error
	 */
	record WriteFailed(StoreError error) implements ClaimEvent {

	}

	/**
	 * The timer set last has expired.
	 */
	record TimerFired() implements ClaimEvent {

	}

}
