package org.burdocktray.process.claim;

/**
 * A claim that waits for its decision. Invariant: it may be stored from the start of the
 * first write that contains it until the state of the store rules out that such a write
 * is still applied. Thread safety: confined to its shard.
 */
final class PendingClaim {

	private final ClaimProposal proposal;

	private final ClaimOrigin origin;

	private final long arrivedNanos;

	private final long deadlineNanos;

	private boolean mayBeStored;

	PendingClaim(ClaimEvent.ClaimRequested event, long nowNanos) {
		this.proposal = event.proposal();
		this.origin = event.origin();
		this.arrivedNanos = nowNanos;
		this.deadlineNanos = event.deadlineNanos();
	}

	ClaimProposal proposal() {
		return this.proposal;
	}

	long arrivedNanos() {
		return this.arrivedNanos;
	}

	long deadlineNanos() {
		return this.deadlineNanos;
	}

	void setMayBeStored(boolean mayBeStored) {
		this.mayBeStored = mayBeStored;
	}

	/**
	 * Returns whether this VM has to release the claim after its waiter was refused.
	 * @return whether this VM created the claim and the claim may be stored now or later
	 */
	boolean needsRelease() {
		return this.origin != ClaimOrigin.FROM_PEER && (this.mayBeStored || mayBeCommittedByPeer());
	}

	/**
	 * Returns whether another VM may commit the claim after this VM decided on it.
	 * @return whether the claim was sent to a VM that did not reply
	 */
	boolean mayBeCommittedByPeer() {
		return this.origin == ClaimOrigin.FORWARD_UNRESOLVED;
	}

}
