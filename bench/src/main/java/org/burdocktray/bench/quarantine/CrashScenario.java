package org.burdocktray.bench.quarantine;

/**
 * What crashes upstreams. Thread safety: immutable.
 *
 * @param seed the seed of all random choices
 * @param vmCount the number of entry VMs
 * @param upstreamCount the number of upstreams
 * @param crashingRequestCount how many requests crash each upstream that runs them
 * @param maxResends how often a caller sends a failed request again, through a random VM
 * @param unrelatedCrashes how many upstreams crash for another reason
 * @param simultaneousCrashes how many of those crash at one time
 * @param quarantineEnabled whether the quarantine is used; without it is the baseline
 */
public record CrashScenario(long seed, int vmCount, int upstreamCount, int crashingRequestCount, int maxResends,
		int unrelatedCrashes, int simultaneousCrashes, boolean quarantineEnabled) {

}
