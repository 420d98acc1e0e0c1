package org.burdocktray.bench.quarantine;

/**
 * Describes which requests and faults crash upstreams. Thread safety: immutable.
 *
 * @param seed the seed of the random generator
 * @param vmCount the number of entry VMs
 * @param upstreamCount the number of upstreams
 * @param crashingRequestCount the number of requests that crash each upstream that runs
 * them
 * @param maxResends how often a caller resends a failed request, through a random VM
 * @param unrelatedCrashes the number of upstream crashes for other reasons
 * @param simultaneousCrashes how many of those occur at the same time
 * @param quarantineEnabled whether the quarantine is used; false for the baseline
 */
public record CrashScenario(long seed, int vmCount, int upstreamCount, int crashingRequestCount, int maxResends,
		int unrelatedCrashes, int simultaneousCrashes, boolean quarantineEnabled) {

}
