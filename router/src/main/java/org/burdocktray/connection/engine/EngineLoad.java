package org.burdocktray.connection.engine;

/**
 * An engine's report of its load. Thread safety: immutable.
 *
 * @param reachable whether the engine responded; if not, the other fields have no meaning
 * @param inFlight the number of streams in progress for all VMs
 * @param tokensPerSecond its recent token rate
 * @param leaving whether it accepts no new streams
 */
public record EngineLoad(boolean reachable, int inFlight, double tokensPerSecond, boolean leaving) {

	/**
	 * Returns the report for an engine that did not respond.
	 * @return the report
	 */
	public static EngineLoad unreachable() {
		return new EngineLoad(false, 0, 0, false);
	}

}
