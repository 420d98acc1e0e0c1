package org.burdocktray.process.load;

/**
 * What this VM knows of one upstream at one moment. Thread safety: immutable.
 *
 * @param ownInFlight the requests this VM has running there
 * @param reportedInFlight the requests of all VMs there, as the upstream reported last,
 * plus what this VM has started and minus what it has ended since then
 * @param reportAgeNanos the age of that report; {@link Long#MAX_VALUE} when there is none
 * @param availability whether it may get new work
 * @param inServiceNanos how long it has been available, for slow start
 */
public record UpstreamStatus(int ownInFlight, int reportedInFlight, long reportAgeNanos, Availability availability,
		long inServiceNanos) {

	/** Whether an upstream may get new work. */
	public enum Availability {

		/** It may get new work. */
		AVAILABLE,

		/** It is leaving; requests in progress end, no new work starts. */
		LEAVING,

		/** It failed of late and gets no new work until it has recovered. */
		EJECTED

	}

	/**
	 * The status of an upstream nothing is known of.
	 * @return an idle and available upstream in service for a long time
	 */
	public static UpstreamStatus unknown() {
		return new UpstreamStatus(0, 0, Long.MAX_VALUE, Availability.AVAILABLE, Long.MAX_VALUE);
	}

	/**
	 * Whether the upstream may get new work.
	 * @return true when it is available
	 */
	public boolean acceptsNewWork() {
		return this.availability == Availability.AVAILABLE;
	}

}
