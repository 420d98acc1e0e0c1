package org.burdocktray.bench.admission;

import java.util.List;

/**
 * One simulated case. Thread safety: immutable.
 *
 * @param vms the entry VMs
 * @param fleetSlots the streams the engines run at a time
 * @param organisations who calls how often
 * @param engineSpeed the engines' true pace over the configured one
 * @param warmUpSeconds the time before the figures count
 * @param measuredSeconds the time in which they count
 * @param seed the seed of all chance
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
	 * Returns the tokens per second that the engines give with every place taken.
	 * @return the bound
	 */
	double capacityTokensPerSecond() {
		return this.fleetSlots * TOKENS_PER_SECOND_PER_STREAM * this.engineSpeed;
	}

	long expectedHoldingMillis() {
		return FIRST_TOKEN_MILLIS + Math.round(MEAN_TOKENS * 1000 / TOKENS_PER_SECOND_PER_STREAM);
	}

	/**
	 * An organisation's calls.
	 *
	 * @param name the name
	 * @param requestsPerSecond how often it calls
	 */
	record OrganisationLoad(String name, double requestsPerSecond) {

	}

}
