package org.burdocktray.version.rules.check;

/**
 * What the gateways that use the rules can bear. Thread safety: immutable.
 *
 * @param retryRatio the retries that the fleet may send per request
 * @param memoryBytes the memory of the smallest VM
 */
public record RulesBounds(double retryRatio, long memoryBytes) {

	/** Typical values, for a check away from the platform. */
	public static final RulesBounds TYPICAL = new RulesBounds(0.2, 512_000_000);

}
