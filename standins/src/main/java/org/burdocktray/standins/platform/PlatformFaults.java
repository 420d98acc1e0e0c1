package org.burdocktray.standins.platform;

/**
 * The active faults of the platform stand-in. A fault with a count affects that number of
 * the next calls. Thread safety: immutable.
 *
 * @param outage whether calls get a {@code 503} response and watches are closed
 * @param overloaded whether calls get a {@code 429} response
 * @param droppedCalls the number of calls whose connection is closed before they are
 * executed
 * @param lostWriteAnswers the number of writes whose connection is closed after they are
 * executed
 * @param delayMillis the delay before a call is executed
 * @param vmsLagMillis the age of the returned list of VMs
 */
public record PlatformFaults(boolean outage, boolean overloaded, int droppedCalls, int lostWriteAnswers,
		long delayMillis, long vmsLagMillis) {

	/**
	 * No faults.
	 */
	public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, 0, 0);

	PlatformFaults withDroppedCalls(int remaining) {
		return new PlatformFaults(this.outage, this.overloaded, remaining, this.lostWriteAnswers, this.delayMillis,
				this.vmsLagMillis);
	}

	PlatformFaults withLostWriteAnswers(int remaining) {
		return new PlatformFaults(this.outage, this.overloaded, this.droppedCalls, remaining, this.delayMillis,
				this.vmsLagMillis);
	}

}
