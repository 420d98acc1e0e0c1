package org.burdocktray.process.claim;

import java.util.List;

/**
 * A batch of outcomes of one shard that a VM forwards to another VM to record. Thread
 * safety: immutable.
 *
 * @param shard the index of the shard that all the claims belong to
 * @param outcomes the outcomes
 */
public record OutcomeBatch(int shard, List<TicketOutcome> outcomes) {

	public OutcomeBatch {
		outcomes = List.copyOf(outcomes);
	}

	/**
	 * The outcome of one claim.
	 *
	 * @param ticket the claim
	 * @param outcome the outcome
	 */
	public record TicketOutcome(ClaimTicket ticket, ClaimOutcome outcome) {

	}

	/**
	 * The reply to a batch.
	 *
	 * @param durableClaimIds the ids of the claims whose outcomes are stored
	 */
	public record Reply(List<String> durableClaimIds) {

		public Reply {
			durableClaimIds = List.copyOf(durableClaimIds);
		}

	}

}
