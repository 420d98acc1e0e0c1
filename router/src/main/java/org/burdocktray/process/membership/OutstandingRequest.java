package org.burdocktray.process.membership;

/**
 * Request in flight to another VM. Thread safety: immutable.
 */
sealed interface OutstandingRequest {

	/**
	 * A direct or indirect probe.
	 *
	 * @param targetName the VM that is probed
	 * @param direct whether the request was sent to that VM itself
	 */
	record Probe(String targetName, boolean direct) implements OutstandingRequest {

	}

	/**
	 * A probe on behalf of another VM.
	 *
	 * @param inboundId the id of that VM's request
	 */
	record Relay(long inboundId) implements OutstandingRequest {

	}

	/** A request whose failure is ignored. */
	record BestEffort() implements OutstandingRequest {

	}

}
