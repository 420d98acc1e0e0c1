package org.burdocktray.process.claim;

import java.util.Optional;

import org.burdocktray.connection.platform.StoreRevision;

/**
 * An action that {@link ClaimShard} requests from its {@link ShardDriver}. Thread safety:
 * immutable.
 */
sealed interface ClaimAction {

	/**
	 * Reads the shard's object from the store.
	 */
	record ReadObject() implements ClaimAction {

	}

	/**
	 * Writes the shard's object to the store.
	 *
	 * @param expectedVersion the version to replace; empty to create the object
	 * @param value the new value
	 */
	record WriteObject(Optional<StoreRevision> expectedVersion, String value) implements ClaimAction {

	}

	/**
	 * Delivers the decision on a claim to its waiter.
	 *
	 * @param claimId the claim id
	 * @param decision the decision
	 */
	record DeliverDecision(String claimId, ClaimDecision decision) implements ClaimAction {

	}

	/**
	 * Delivers the result of recording an outcome to its waiter.
	 *
	 * @param waiterId the waiter's id
	 * @param durable whether the outcome is stored
	 */
	record DeliverRecordResult(long waiterId, boolean durable) implements ClaimAction {

	}

	/**
	 * Schedules a {@link ClaimEvent.TimerFired}; replaces the previous timer.
	 *
	 * @param atNanos the monotonic time at which the timer fires
	 */
	record SetTimer(long atNanos) implements ClaimAction {

	}

	/**
	 * Logs that the shard's object can't be used.
	 *
	 * @param detail the reason
	 */
	record ReportFault(String detail) implements ClaimAction {

	}

}
