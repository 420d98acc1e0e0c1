package org.burdocktray.process.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * The limits of the quarantine. Thread safety: immutable.
 *
 * @param suspicionMillis how long a suspect is kept
 * @param quarantineMillis how long a request stays quarantined
 * @param maxRunMillis the maximum duration of a run
 * @param maxEntries the maximum number of requests that are kept
 * @param storesSuspects whether suspects are stored as well as quarantined requests, for
 * VMs that hear of each other only through the store
 */
public record QuarantineSettings(long suspicionMillis, long quarantineMillis, long maxRunMillis, int maxEntries,
		boolean storesSuspects) {

	/**
	 * Returns the values for VMs that exchange suspects by gossip.
	 * @return the settings
	 */
	public static QuarantineSettings defaults() {
		return new QuarantineSettings(3_600_000, 86_400_000, 120_000, 10_000, false);
	}

	/**
	 * Returns the values for VMs that exchange suspects through the store.
	 * @return the settings
	 */
	public static QuarantineSettings sharedThroughStore() {
		return new QuarantineSettings(3_600_000, 86_400_000, 120_000, 2_000, true);
	}

	long suspicionNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.suspicionMillis);
	}

	long quarantineNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.quarantineMillis);
	}

	long maxRunNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.maxRunMillis);
	}

}
