package org.burdocktray.process.membership;

/**
 * A request whose outcome is not known yet. Thread safety: immutable.
 */
sealed interface OutstandingRequest {

	/**
	 * A direct or indirect probe.
	 *
	 * @param targetName the VM that is probed
	 * @param direct whether the request went to that VM itself
	 */
	record Probe(String targetName, boolean direct) implements OutstandingRequest {

	}

	/**
	 * A probe for another VM that asked for it.
	 *
	 * @param inboundId the request to be answered
	 */
	record Relay(long inboundId) implements OutstandingRequest {

	}

	/** A request whose failure needs no reaction. */
	record BestEffort() implements OutstandingRequest {

	}

}
