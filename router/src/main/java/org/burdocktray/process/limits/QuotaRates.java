package org.burdocktray.process.limits;

/**
 * An organisation's quota on this VM. Thread safety: immutable.
 *
 * @param requestsPerSecond the maximum rate of requests
 * @param tokensPerSecond the maximum rate of generated tokens
 */
public record QuotaRates(double requestsPerSecond, double tokensPerSecond) {

}
