package org.burdocktray.request.hedge;

/**
 * Why a late request gets no second run. Thread safety: immutable.
 */
public enum HedgeObstacle {

	/** The request may not be repeated, has responded, or was hedged before. */
	NOT_ELIGIBLE("not_eligible"),

	/** A lost run, or the quarantine, makes the request suspicious. */
	SUSPECTED("suspected"),

	/** The route allows no further run. */
	ATTEMPTS_SPENT("attempts"),

	/** This VM may be cut off, or the request is relayed. */
	REACH("reach"),

	/** All replicas of the service are slow. */
	SERVICE_SLOW("service_slow"),

	/** The limit of hedged runs is reached. */
	LIMIT("limit"),

	/** The retry budget has not enough left. */
	BUDGET("budget"),

	/** No replica apart from the first run has free capacity. */
	NO_CAPACITY("capacity");

	private final String label;

	HedgeObstacle(String label) {
		this.label = label;
	}

	/**
	 * Returns the name for metrics.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

}
