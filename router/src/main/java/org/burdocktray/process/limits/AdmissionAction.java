package org.burdocktray.process.limits;

/**
 * The admission decision on a request. Thread safety: immutable.
 */
public sealed interface AdmissionAction {

	/**
	 * Returns the ticket of the request.
	 * @return the ticket
	 */
	AdmissionTicket ticket();

	/**
	 * Admits the request, which now holds an admission slot.
	 *
	 * @param ticket the request
	 */
	record Admit(AdmissionTicket ticket) implements AdmissionAction {

	}

	/**
	 * Refuses the request, because no slot is expected to become free in time.
	 *
	 * @param ticket the request
	 * @param retryAfterMillis the time after which the current queue is expected to be
	 * served, at least 1
	 */
	record Refuse(AdmissionTicket ticket, long retryAfterMillis) implements AdmissionAction {

	}

}
