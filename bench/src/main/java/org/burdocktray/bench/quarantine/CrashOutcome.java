package org.burdocktray.bench.quarantine;

/**
 * The result of a crash scenario. Thread safety: immutable.
 *
 * @param maxLostPerCrashingRequest the maximum number of upstreams that one crashing
 * request crashed
 * @param normalRequests the number of requests that crash no upstream
 * @param normalAffectedByCrash how many of those were running on an upstream that crashed
 * @param normalRefused how many of those were refused as quarantined
 */
public record CrashOutcome(int maxLostPerCrashingRequest, int normalRequests, int normalAffectedByCrash,
		int normalRefused) {

}
