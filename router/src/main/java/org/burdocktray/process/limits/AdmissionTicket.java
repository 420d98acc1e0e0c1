package org.burdocktray.process.limits;

/**
 * The properties of one request that admission needs. Tickets are compared by identity,
 * so that two requests with the same properties remain distinct. Thread safety:
 * immutable.
 */
public final class AdmissionTicket {

	private final String organisation;

	private final double weight;

	private final int priority;

	private final long deadlineNanos;

	/**
	 * Creates a ticket.
	 * @param organisation the name of the organisation
	 * @param weight the organisation's weight, above 0
	 * @param priority the organisation's priority class; 0 is served first
	 * @param deadlineNanos the deadline of the first token, in nanoseconds of the
	 * monotonic clock
	 */
	public AdmissionTicket(String organisation, double weight, int priority, long deadlineNanos) {
		if (!(weight > 0)) {
			throw new IllegalArgumentException("weight must be above 0, was " + weight);
		}
		this.organisation = organisation;
		this.weight = weight;
		this.priority = priority;
		this.deadlineNanos = deadlineNanos;
	}

	/**
	 * Returns the name of the organisation.
	 * @return the name
	 */
	public String organisation() {
		return this.organisation;
	}

	/**
	 * Returns the deadline of the first token.
	 * @return the time in nanoseconds of the monotonic clock
	 */
	public long deadlineNanos() {
		return this.deadlineNanos;
	}

	double weight() {
		return this.weight;
	}

	int priority() {
		return this.priority;
	}

}
