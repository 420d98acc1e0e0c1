package org.burdocktray.bench.quarantine;

/**
 * What a scenario cost. Thread safety: immutable.
 *
 * @param maxLostPerCrashingRequest the most upstreams that one crashing request took down
 * @param normalRequests the requests that crash nothing
 * @param normalAffectedByCrash those of them that were running on a crashed upstream
 * @param normalRefused those of them that were refused as quarantined
 */
public record CrashOutcome(int maxLostPerCrashingRequest, int normalRequests, int normalAffectedByCrash,
		int normalRefused) {

}
