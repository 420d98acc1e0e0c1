package org.burdocktray.standins.service;

/**
 * The active faults of the service stand-in. A fault with a count affects that number of
 * the next calls. Thread safety: immutable.
 *
 * @param delayMillis the delay before a call is executed
 * @param answerDelayMillis the delay between a call's execution and its response
 * @param droppedCalls the number of calls whose connection is closed before they are
 * executed
 * @param lostAnswers the number of calls whose connection is closed after they are
 * executed
 * @param unavailable whether calls get a {@code 503} response
 * @param leaving whether calls get a {@code 503} response because the service is leaving
 * @param crashOn the text that crashes the service when the body of a call contains it;
 * empty for none
 */
public record ServiceFaults(long delayMillis, long answerDelayMillis, int droppedCalls, int lostAnswers,
		boolean unavailable, boolean leaving, String crashOn) {

	/**
	 * No faults.
	 */
	public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0, false, false, "");

	/**
	 * Replaces a missing {@code crashOn} with an empty text.
	 */
	public ServiceFaults {
		crashOn = (crashOn != null) ? crashOn : "";
	}

	boolean crashesOn(String body) {
		return !this.crashOn.isEmpty() && body.contains(this.crashOn);
	}

	ServiceFaults withDroppedCalls(int remaining) {
		return new ServiceFaults(this.delayMillis, this.answerDelayMillis, remaining, this.lostAnswers,
				this.unavailable, this.leaving, this.crashOn);
	}

	ServiceFaults withLostAnswers(int remaining) {
		return new ServiceFaults(this.delayMillis, this.answerDelayMillis, this.droppedCalls, remaining,
				this.unavailable, this.leaving, this.crashOn);
	}

}
