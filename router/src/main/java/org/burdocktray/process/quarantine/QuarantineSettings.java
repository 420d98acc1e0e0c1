package org.burdocktray.process.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * The limits of the quarantine. Thread safety: immutable.
 *
 * @param suspicionMillis how long a suspect is kept
 * @param quarantineMillis how long a request stays quarantined
 * @param maxRunMillis the maximum duration of a run
 * @param maxEntries the maximum number of requests that are kept
 */
public record QuarantineSettings(long suspicionMillis, long quarantineMillis, long maxRunMillis, int maxEntries) {

	/**
	 * Returns the values used in production.
	 * @return the settings
	 */
	public static QuarantineSettings defaults() {
		return new QuarantineSettings(3_600_000, 86_400_000, 120_000, 10_000);
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
