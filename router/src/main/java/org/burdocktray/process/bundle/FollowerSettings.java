package org.burdocktray.process.bundle;

/**
 * How a VM follows the rolled bundles. Thread safety: immutable.
 *
 * @param watchersPerDataCentre how many VMs of a data centre watch the store
 * @param watcherPollMillis how often a VM that watches also reads, since a watch can fall
 * silent without ending
 * @param fallbackPollMillis how often any other VM reads
 * @param startupRetryMillis how often a VM without a bundle tries again
 * @param watchRetryMillis the pause before a watch is opened again
 * @param suspectPeerMillis how long a peer that sent an unacceptable bundle isn't asked
 */
public record FollowerSettings(int watchersPerDataCentre, long watcherPollMillis, long fallbackPollMillis,
		long startupRetryMillis, long watchRetryMillis, long suspectPeerMillis) {

	/** The settings of a fleet of up to some hundred VMs. */
	public static final FollowerSettings DEFAULT = new FollowerSettings(2, 4_000, 60_000, 1_000, 1_000, 30_000);

}
