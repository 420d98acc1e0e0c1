package org.burdocktray.process.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The queued requests and the requests in progress of one organisation for one target on
 * this VM. Thread safety: confined to one thread at a time.
 */
final class OrganisationQueue {

	private static final double ADMISSIONS_WINDOW_NANOS = 1e9;

	private static final double REQUESTS_WINDOW_NANOS = 30e9;

	private final Deque<WaitingTicket> waiting = new ArrayDeque<>();

	private final DecayingRate admissions;

	private final DecayingRate requests;

	private double weight;

	private int priority;

	private int inProgress;

	private long lastRequestNanos;

	OrganisationQueue(long nowNanos) {
		this.admissions = new DecayingRate(ADMISSIONS_WINDOW_NANOS, nowNanos);
		this.requests = new DecayingRate(REQUESTS_WINDOW_NANOS, nowNanos);
	}

	void recordRequest(AdmissionTicket ticket, long nowNanos) {
		this.lastRequestNanos = nowNanos;
		this.requests.add(1, nowNanos);
		this.weight = ticket.weight();
		this.priority = ticket.priority();
	}

	void recordAdmission(long nowNanos) {
		this.inProgress++;
		this.admissions.add(1, nowNanos);
	}

	void recordRelease() {
		this.inProgress--;
	}

	boolean isIdleSince(long timeNanos) {
		return this.inProgress == 0 && this.waiting.isEmpty() && this.lastRequestNanos - timeNanos <= 0;
	}

	/**
	 * Returns the slots in use per unit of weight. The organisation with the lowest value
	 * is served first.
	 * @return the number of slots divided by the weight
	 */
	double slotsPerWeight() {
		return this.inProgress / this.weight;
	}

	double admissionsPerNano(long nowNanos) {
		return this.admissions.perNano(nowNanos);
	}

	double requestsPerNano(long nowNanos) {
		return this.requests.perNano(nowNanos);
	}

	Deque<WaitingTicket> waiting() {
		return this.waiting;
	}

	double weight() {
		return this.weight;
	}

	int priority() {
		return this.priority;
	}

	int inProgress() {
		return this.inProgress;
	}

}
