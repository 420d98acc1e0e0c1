package org.burdocktray.bench.quarantine;

/**
 * The result of a scenario with gateways. Thread safety: immutable.
 *
 * @param maxLostPerCrashingRequest the maximum number of engines that one request crashed
 * @param crashingRequestsOverTwo the number of requests that crashed more than two
 * engines
 * @param soundRequests the number of requests that crash no engine
 * @param soundAffectedByCrash how many of those lost an engine while they ran
 * @param soundRefused how many of those were refused as quarantined
 * @param maxLostPerCrashingPart the maximum number of engines that requests with one part
 * crashed
 * @param maxLateRuns the maximum number of runs with one part that began later than the
 * users' {@code contactMs} after the fifth such crash
 * @param storedEntries the number of entries written to the store
 */
public record SharedCrashOutcome(int maxLostPerCrashingRequest, int crashingRequestsOverTwo, int soundRequests,
		int soundAffectedByCrash, int soundRefused, int maxLostPerCrashingPart, int maxLateRuns, int storedEntries) {

}
