package org.burdocktray.process.claim;

import io.reactivex.rxjava3.core.Maybe;

/**
 * Forwards nothing, so that each VM commits its own claims. Thread safety: stateless.
 */
public final class NoForwarder implements ClaimForwarder {

	@Override
	public boolean prefersPeer(int shard) {
		return false;
	}

	@Override
	public Maybe<ClaimBatch.Reply> forwardClaims(ClaimBatch batch) {
		return Maybe.empty();
	}

	@Override
	public Maybe<OutcomeBatch.Reply> forwardOutcomes(OutcomeBatch batch) {
		return Maybe.empty();
	}

}
