package org.burdocktray.process.membership;

/**
 * State of a VM in the local view of another VM. Of two entries with the same
 * incarnation, the one with the later constant takes precedence; the ordinal is sent on
 * the wire. Thread safety: immutable.
 */
public enum MemberState {

	/** The VM responds. */
	ALIVE,

	/** The VM did not respond to a probe and has not refuted the suspicion yet. */
	SUSPECT,

	/**
	 * The VM did not refute the suspicion in time. It may have failed or be partitioned.
	 */
	DEAD,

	/** The VM announced that it is shutting down. */
	LEAVING;

	/**
	 * Returns whether the VM participates in the protocol.
	 * @return true for members that are probed
	 */
	public boolean isActive() {
		return this == ALIVE || this == SUSPECT;
	}

}
