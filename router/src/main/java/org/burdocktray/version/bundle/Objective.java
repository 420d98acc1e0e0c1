package org.burdocktray.version.bundle;

/**
 * A service-level objective. Thread safety: immutable.
 *
 * @param name the unique name
 * @param kind the measured quantity
 * @param target the required share of good events, above 0 and below 1
 * @param thresholdMillis the upper limit of a latency objective; 0 for availability
 * @param windowHours the length of the error budget window
 */
public record Objective(String name, Kind kind, double target, long thresholdMillis, long windowHours) {

	/** The quantity measured by an objective. */
	public enum Kind {

		/**
		 * Requests with a complete response, or correctly refused because of an error of
		 * the caller.
		 */
		AVAILABILITY,

		/** Time to the first token. */
		FIRST_TOKEN,

		/** Time between tokens. */
		BETWEEN_TOKENS,

		/** Interruption of a stream after the failure of a stage. */
		RECOVERY

	}

}
