package org.burdocktray.bench.admission;

import java.util.List;

/**
 * Describes one simulated scenario. Thread safety: immutable.
 *
 * @param vms the number of entry VMs
 * @param fleetSlots the number of streams that the engines run concurrently
 * @param organisations the organisations and their request rates
 * @param engineSpeed the actual token rate of the engines divided by the configured one
 * @param warmUpSeconds the duration before the measurement starts
 * @param measuredSeconds the duration of the measurement
 * @param seed the seed of the random number generators
 */
record Scenario(int vms, int fleetSlots, List<OrganisationLoad> organisations, double engineSpeed, int warmUpSeconds,
		int measuredSeconds, long seed) {

	static final double TOKENS_PER_SECOND_PER_STREAM = 1000.0 / 30;

	static final double MEAN_TOKENS = 290;

	static final long FIRST_TOKEN_MILLIS = 150;

	static final long DEADLINE_MILLIS = 720;

	Scenario {
		organisations = List.copyOf(organisations);
	}

	/**
	 * Returns the token rate of the engines while every slot is in use.
	 * @return the maximum in tokens per second
	 */
	double capacityTokensPerSecond() {
		return this.fleetSlots * TOKENS_PER_SECOND_PER_STREAM * this.engineSpeed;
	}

	long expectedHoldingMillis() {
		return FIRST_TOKEN_MILLIS + Math.round(MEAN_TOKENS * 1000 / TOKENS_PER_SECOND_PER_STREAM);
	}

	/**
	 * The request rate of one organisation.
	 *
	 * @param name the name of the organisation
	 * @param requestsPerSecond the mean rate of its arrivals
	 */
	record OrganisationLoad(String name, double requestsPerSecond) {

	}

}
