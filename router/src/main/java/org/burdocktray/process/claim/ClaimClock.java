package org.burdocktray.process.claim;

import java.time.Instant;

/**
 * Provides the monotonic time and the wall-clock time for claims. Thread safety:
 * implementations can be called from any thread.
 */
@FunctionalInterface
public interface ClaimClock {

	/**
	 * Returns the current time.
	 * @return both times, read together
	 */
	ClaimTime now();

	/**
	 * Returns a clock that reads the system time.
	 * @return the system clock
	 */
	static ClaimClock system() {
		return () -> new ClaimTime(System.nanoTime(), Instant.now().getEpochSecond());
	}

}
