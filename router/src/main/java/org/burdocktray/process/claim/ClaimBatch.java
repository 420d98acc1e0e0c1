package org.burdocktray.process.claim;

import java.util.List;

/**
 * A batch of claims of one shard that a VM forwards to another VM to commit. Thread
 * safety: immutable.
 *
 * @param shard the index of the shard that all the claims belong to
 * @param claims the claims; their deadlines are relative to the receipt of the batch
 */
public record ClaimBatch(int shard, List<ClaimProposal> claims) {

	public ClaimBatch {
		claims = List.copyOf(claims);
	}

	/**
	 * The reply to a batch.
	 *
	 * @param replies one reply for each claim
	 */
	public record Reply(List<ClaimReply> replies) {

		public Reply {
			replies = List.copyOf(replies);
		}

	}

}
