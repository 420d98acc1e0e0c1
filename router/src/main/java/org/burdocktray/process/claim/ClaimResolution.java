package org.burdocktray.process.claim;

/**
 * An operator's resolution of a claim without a known outcome. Thread safety: immutable.
 */
public sealed interface ClaimResolution {

	/**
	 * The call ran. Its key never runs again; later requests with the key receive the
	 * note as their response.
	 *
	 * @param note the body of the replayed response
	 */
	record Ran(String note) implements ClaimResolution {

	}

	/**
	 * The call did not run, and the VM that created the claim no longer exists. Its key
	 * may run again.
	 */
	record NotRun() implements ClaimResolution {

	}

}
