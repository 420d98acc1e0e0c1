package org.burdocktray.process.watch;

import org.burdocktray.connection.platform.ChangeFeed;

/**
 * How long calls for changes wait. A call whose connection has fallen silent hears of
 * nothing, and is given up some time after its wait. Invariant: a VM that is in contact
 * again after its connections have fallen silent knows what has changed meanwhile, since
 * its calls have been given up and repeated by then. Thread safety: immutable.
 *
 * @param contactMillis after which time without disturbance a VM counts as in contact
 * @param drainMillis within which time requests to a replica that leaves must end
 */
public record WatchWaits(long contactMillis, long drainMillis) {

	/** The time for a call on a new connection, after one that got no answer. */
	private static final long REPEATED_CALL_MILLIS = 400;

	/** Where contact comes so soon that a call can't be given up and repeated before. */
	private static final long MIN_CONTACT_SHARE = 4;

	/** A drain must be known within the bound although a watcher may be lost. */
	private static final long REPLICAS_WAITS_PER_DRAIN = 3;

	/**
	 * Returns how long a call for changes may wait, counted from the last answer.
	 * @return milliseconds
	 */
	public long maxMillis() {
		return Math.max(this.contactMillis / MIN_CONTACT_SHARE,
				this.contactMillis - ChangeFeed.MAX_ANSWER_DELAY_MILLIS - REPEATED_CALL_MILLIS);
	}

	/**
	 * Returns how long a VM that watches the replicas for others waits.
	 * @return milliseconds
	 */
	public long sharedReplicasMillis() {
		return Math.min(maxMillis(), this.drainMillis / REPLICAS_WAITS_PER_DRAIN);
	}

}
