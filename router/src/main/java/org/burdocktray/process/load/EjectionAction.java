package org.burdocktray.process.load;

/**
 * An action that results from a change of an upstream's health. Thread safety: immutable.
 */
public sealed interface EjectionAction {

	/**
	 * Returns the upstream that the action applies to.
	 * @return the name of the upstream
	 */
	String upstreamName();

	/**
	 * Stops sending new work to the upstream.
	 *
	 * @param upstreamName the name of the upstream
	 * @param durationNanos the time until the upstream is probed
	 */
	record Eject(String upstreamName, long durationNanos) implements EjectionAction {

	}

	/**
	 * Sends one harmless request to the upstream and records its outcome.
	 *
	 * @param upstreamName the name of the upstream
	 */
	record Probe(String upstreamName) implements EjectionAction {

	}

	/**
	 * Resumes sending new work to the upstream.
	 *
	 * @param upstreamName the name of the upstream
	 */
	record Restore(String upstreamName) implements EjectionAction {

	}

}
