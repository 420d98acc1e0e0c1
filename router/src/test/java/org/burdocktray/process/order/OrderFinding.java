package org.burdocktray.process.order;

/**
 * Events counted in a fault simulation.
 */
enum OrderFinding {

	/** An engine accepted an order. */
	TAKEN,

	/** The lease passed to another holder. */
	TAKEOVER,

	/** An order was not sent because its deadline had passed. */
	NOT_SENT,

	/** An engine refused an order because of its fencing number. */
	FENCED,

	/**
	 * An engine that checks fencing numbers accepted an order of an earlier tenure after
	 * one of a later tenure.
	 */
	OLDER_AFTER_NEWER_CHECKED,

	/**
	 * An engine that ignores fencing numbers accepted an order of an earlier tenure after
	 * one of a later tenure.
	 */
	OLDER_AFTER_NEWER_IGNORED,

	/**
	 * An engine that ignores fencing numbers accepted an order after another holder had
	 * taken over the lease.
	 */
	LATE,

	/**
	 * As {@link #LATE}, for an order whose sender was paused after the check of the
	 * deadline or that was delivered after the order timeout.
	 */
	LATE_UNPROVABLE,

	/** An engine did not end in the state of the newest bundle. */
	UNCONVERGED

}
