package org.burdocktray.process.claim;

import io.reactivex.rxjava3.core.Maybe;

/**
 * Forwards claims to the preferred VM of their shard. Forwarding reduces the number of
 * writes; correctness does not depend on it, since any VM may commit any claim. Thread
 * safety: implementations can be called from any thread.
 */
public interface ClaimForwarder {

	/**
	 * Returns whether another VM is preferred for a shard.
	 * @param shard the index of the shard
	 * @return false if this VM commits the claims of the shard itself
	 */
	boolean prefersPeer(int shard);

	/**
	 * Sends claims to the preferred VM, which commits them with
	 * {@link StoreClaimRegistry#acceptClaims}.
	 * @param batch the claims
	 * @return the reply; empty if nothing was sent; an error if the reply is lost
	 */
	Maybe<ClaimBatch.Reply> forwardClaims(ClaimBatch batch);

	/**
	 * Sends outcomes to the preferred VM, which records them with
	 * {@link StoreClaimRegistry#acceptOutcomes}.
	 * @param batch the outcomes
	 * @return the reply; empty if nothing was sent; an error if the reply is lost
	 */
	Maybe<OutcomeBatch.Reply> forwardOutcomes(OutcomeBatch batch);

}
