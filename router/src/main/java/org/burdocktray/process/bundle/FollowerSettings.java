package org.burdocktray.process.bundle;

/**
 * Settings for following the rolled bundles. Thread safety: immutable.
 *
 * @param watchersPerDataCentre the number of VMs per data centre that watch the store
 * @param watcherPollMillis the interval at which a watching VM also reads the store,
 * because a watch can stop reporting without ending
 * @param fallbackPollMillis the interval at which any other VM reads the store
 * @param startupRetryMillis the interval between startup rounds
 * @param watchRetryMillis the delay before a watch that ended is reopened
 * @param suspectPeerMillis how long no bundle is requested from a peer that sent an
 * unacceptable one
 */
public record FollowerSettings(int watchersPerDataCentre, long watcherPollMillis, long fallbackPollMillis,
		long startupRetryMillis, long watchRetryMillis, long suspectPeerMillis) {

	/** Settings for fleets of up to a few hundred VMs. */
	public static final FollowerSettings DEFAULT = new FollowerSettings(2, 4_000, 60_000, 1_000, 1_000, 30_000);

}
