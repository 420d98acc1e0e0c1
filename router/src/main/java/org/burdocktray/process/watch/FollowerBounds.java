package org.burdocktray.process.watch;

import org.burdocktray.connection.platform.ChangeFeed;

/**
 * How soon a VM that asks others leaves sources that have lost the store. A change must
 * be known within the bound although the watchers of its data centre and one of another
 * are lost: the call of a watcher is overdue some time after its wait, two further
 * watchers may be asked in vain, and the VM calls the store itself after a delay that
 * spreads the calls of all VMs. Invariant: these times add up to the bound at most, if
 * that leaves the minimum for an answer of the store. Thread safety: immutable.
 *
 * @param boundMillis within which time a change must be known
 */
public record FollowerBounds(long boundMillis) {

	private static final long MIN_OVERDUE_MILLIS = 200;

	private static final long MAX_PROBE_MILLIS = 400;

	/** One part in this many of the bound is for a watcher that is asked in vain. */
	private static final long PROBES_PER_BOUND = 8;

	private static final long PROBES = 2;

	private static final long MAX_SPREAD_MILLIS = 1_000;

	/** One part in this many of the bound is for the spread of calls to the store. */
	private static final long SPREADS_PER_BOUND = 5;

	/** The time for the call to the store and for answers on their way. */
	private static final long CALL_MILLIS = 200;

	/**
	 * Returns how long after its wait a watcher is abandoned that does not answer.
	 * @return milliseconds
	 */
	public long probeMillis() {
		return Math.min(MAX_PROBE_MILLIS, this.boundMillis / PROBES_PER_BOUND);
	}

	/**
	 * Returns the maximum delay of the first call to a store that watchers have lost.
	 * @return milliseconds
	 */
	public long maxSpreadMillis() {
		return Math.min(MAX_SPREAD_MILLIS, this.boundMillis / SPREADS_PER_BOUND);
	}

	/**
	 * Returns how long after its wait a watcher's call to the store is overdue, so that
	 * those that ask the watcher look elsewhere. The call itself goes on.
	 * @param waitMillis how long the call waits for changes
	 * @return milliseconds, at most the time after which the call is given up
	 */
	public long overdueMillis(long waitMillis) {
		long restMillis = this.boundMillis - waitMillis - PROBES * probeMillis() - maxSpreadMillis() - CALL_MILLIS;
		return Math.max(MIN_OVERDUE_MILLIS, Math.min(ChangeFeed.MAX_ANSWER_DELAY_MILLIS, restMillis));
	}

}
