package org.burdocktray.version.bundle;

import java.util.List;

/**
 * An organisation that may send requests. Thread safety: immutable.
 *
 * @param name the unique name
 * @param keyDigests SHA-256 digests of its API keys, lower-case hex
 * @param weight its relative share of the fleet under overload
 * @param tokensPerSecond its quota of generated tokens, for the complete fleet
 * @param requestsPerSecond its quota of requests, for the complete fleet
 * @param priority its priority class; 0 is the highest priority
 * @param models the names of the models it may use; empty means all
 */
public record Organisation(String name, List<String> keyDigests, double weight, double tokensPerSecond,
		double requestsPerSecond, int priority, List<String> models) {

	public Organisation {
		keyDigests = List.copyOf(keyDigests);
		models = List.copyOf(models);
	}

}
