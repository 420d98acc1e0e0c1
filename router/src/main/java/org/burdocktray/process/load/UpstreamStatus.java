package org.burdocktray.process.load;

/**
 * This VM's local view of one upstream at one time. Thread safety: immutable.
 *
 * @param ownInFlight the number of requests of this VM that are in progress at the
 * upstream
 * @param reportedInFlight the number of requests of all VMs at the upstream, as it last
 * reported, plus those that this VM has started and minus those that it has ended since
 * then
 * @param reportAgeNanos the age of that report; {@link Long#MAX_VALUE} if there is none
 * @param availability whether it may receive new work
 * @param inServiceNanos how long it has been available, for slow start
 */
public record UpstreamStatus(int ownInFlight, int reportedInFlight, long reportAgeNanos, Availability availability,
		long inServiceNanos) {

	/** Specifies whether an upstream may receive new work. */
	public enum Availability {

		/** The upstream may receive new work. */
		AVAILABLE,

		/** The upstream is leaving: requests in progress continue, no new work starts. */
		LEAVING,

		/**
		 * The upstream has failed recently and receives no new work until it has
		 * recovered.
		 */
		EJECTED

	}

	/**
	 * Returns the status of an upstream about which there is no information.
	 * @return the status of an idle, available upstream that has been in service for a
	 * long time
	 */
	public static UpstreamStatus unknown() {
		return new UpstreamStatus(0, 0, Long.MAX_VALUE, Availability.AVAILABLE, Long.MAX_VALUE);
	}

	/**
	 * Returns whether the upstream may receive new work.
	 * @return true if it is available
	 */
	public boolean acceptsNewWork() {
		return this.availability == Availability.AVAILABLE;
	}

}
