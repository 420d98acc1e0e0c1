package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests for one target receive this VM's admission slots. Performs no
 * I/O.
 *
 * A free slot goes to a waiting organisation that holds less than its weighted share: the
 * lowest priority class first, then the organisation with the fewest slots per unit of
 * weight. When all waiting organisations hold their share, it goes to the one with the
 * fewest slots per unit of weight. The wait is estimated from the requests ahead and a
 * moving average of the slot holding time.
 *
 * An organisation floods if it holds its share and its recent demand is more than twice
 * its share. It cannot take the last few free slots, so that the other organisations need
 * not wait for a slot to become free. A single active organisation never floods.
 *
 * Invariants: no request is admitted while all slots are in use; no slot stays free while
 * a request of an organisation that does not flood is queued; each ticket receives at
 * most one action; a request leaves the queue at the first tick at which its estimated
 * wait exceeds its remaining time and its wait for a loan has ended. Thread safety:
 * confined to one thread at a time.
 */
public final class FairShareAdmission {

	private static final double HOLDING_TIME_SMOOTHING = 1.0 / 32;

	private static final double RESERVED_SLOTS_PER_SQRT = 2.0 / 3;

	private static final double FLOODING_RATIO = 2;

	private static final long IDLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final AdmissionParameters parameters;

	private final long firstTokenReserveNanos;

	// An organisation counts towards the shares for IDLE_RETENTION_NANOS after its last
	// request, or longer while it has requests queued or in progress.
	private final Map<String, OrganisationQueue> organisations = new LinkedHashMap<>();

	private double meanHoldingNanos;

	private final long maxLoanWaitNanos;

	private boolean borrowingEnabled;

	private int slots;

	private int inProgress;

	private int waiting;

	private int waitingOrganisations;

	private double activeWeight;

	private long lastCleanupNanos;

	/**
	 * Creates the admission for one target.
	 * @param parameters the limits on the wait
	 * @param slots the number of slots of this VM
	 * @param expectedHoldingMillis the initial estimate of the slot holding time, used
	 * until holding times are observed
	 */
	public FairShareAdmission(AdmissionParameters parameters, int slots, long expectedHoldingMillis) {
		this.parameters = parameters;
		this.firstTokenReserveNanos = TimeUnit.MILLISECONDS.toNanos(parameters.firstTokenReserveMillis());
		this.maxLoanWaitNanos = TimeUnit.MILLISECONDS.toNanos(parameters.maxLoanWaitMillis());
		this.slots = Math.max(0, slots);
		this.meanHoldingNanos = TimeUnit.MILLISECONDS.toNanos(expectedHoldingMillis);
	}

	/**
	 * Decides on a new request for a slot.
	 * @param ticket the request
	 * @param nowNanos the time
	 * @return the decision; empty if the request is queued
	 */
	public List<AdmissionAction> request(AdmissionTicket ticket, long nowNanos) {
		OrganisationQueue queue = activateQueue(ticket, nowNanos);
		boolean slotAvailable = queue.waiting().isEmpty() && canTakeSlot(queue, nowNanos);
		if (slotAvailable && nowNanos - latestStartNanos(ticket) <= 0) {
			return List.of(admit(ticket, queue, nowNanos));
		}
		double waitNanos = estimateWaitNanos(queue, queue.waiting().size(), nowNanos);
		double remainingNanos = latestStartNanos(ticket) - nowNanos;
		if (queue.waiting().size() >= this.parameters.maxWaitingPerOrganisation() || remainingNanos <= 0) {
			return List.of(refuse(ticket, waitNanos));
		}
		if (waitNanos <= remainingNanos * this.parameters.maxWaitRatio()) {
			enqueue(new WaitingTicket(ticket, nowNanos), queue);
			return List.of();
		}
		if (!this.borrowingEnabled || isFlooding(queue, nowNanos)) {
			return List.of(refuse(ticket, waitNanos));
		}
		// Another VM may lend a slot within a short time.
		enqueue(new WaitingTicket(ticket, nowNanos + this.maxLoanWaitNanos), queue);
		return List.of();
	}

	/**
	 * Releases a slot.
	 * @param ticket the request that held it
	 * @param heldNanos the holding time
	 * @param nowNanos the time
	 * @return the decisions on queued requests
	 */
	public List<AdmissionAction> release(AdmissionTicket ticket, long heldNanos, long nowNanos) {
		this.meanHoldingNanos += (heldNanos - this.meanHoldingNanos) * HOLDING_TIME_SMOOTHING;
		OrganisationQueue queue = this.organisations.get(ticket.organisation());
		queue.recordRelease();
		this.inProgress--;
		return dispatch(nowNanos);
	}

	/**
	 * Removes a request from the queue after its caller has disconnected.
	 * @param ticket the request
	 * @return whether it was in the queue
	 */
	public boolean withdraw(AdmissionTicket ticket) {
		OrganisationQueue queue = this.organisations.get(ticket.organisation());
		if (queue == null || !queue.waiting().removeIf((waiting) -> waiting.ticket() == ticket)) {
			return false;
		}
		recordDequeued(queue);
		return true;
	}

	/**
	 * Refuses queued requests that can no longer start in time. Must be called several
	 * times within the time that a request has until its deadline.
	 * @param nowNanos the time
	 * @return the refusals
	 */
	public List<AdmissionAction> tick(long nowNanos) {
		if (nowNanos - this.lastCleanupNanos >= IDLE_RETENTION_NANOS) {
			removeIdleOrganisations(nowNanos);
		}
		if (this.waiting == 0) {
			return List.of();
		}
		List<AdmissionAction> actions = new ArrayList<>();
		for (OrganisationQueue queue : this.organisations.values()) {
			refuseLate(queue, nowNanos, actions);
		}
		return actions;
	}

	/**
	 * Changes the number of slots. Requests in progress keep their slots.
	 * @param newSlots the new number of slots of this VM
	 * @param nowNanos the time
	 * @return the decisions on queued requests
	 */
	public List<AdmissionAction> resize(int newSlots, long nowNanos) {
		this.slots = Math.max(0, newSlots);
		return dispatch(nowNanos);
	}

	/**
	 * Sets whether slots can be borrowed from other VMs. If so, a request that cannot
	 * join the queue waits briefly for a loan.
	 * @param enabled whether there are peers that may lend slots
	 */
	public void setBorrowingEnabled(boolean enabled) {
		this.borrowingEnabled = enabled;
	}

	/**
	 * Returns the number of slots to borrow for queued requests.
	 * @param nowNanos the time
	 * @return the number of queued requests of organisations that do not flood
	 */
	public int slotsToBorrow(long nowNanos) {
		if (this.waiting == 0) {
			return 0;
		}
		int requests = 0;
		for (OrganisationQueue queue : this.organisations.values()) {
			requests += isFlooding(queue, nowNanos) ? 0 : queue.waiting().size();
		}
		return requests;
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number of requests
	 */
	public int waiting() {
		return this.waiting;
	}

	/**
	 * Returns the number of requests that hold a slot.
	 * @return the number of requests
	 */
	public int inProgress() {
		return this.inProgress;
	}

	private List<AdmissionAction> dispatch(long nowNanos) {
		if (this.waiting == 0) {
			return List.of();
		}
		List<AdmissionAction> actions = new ArrayList<>();
		Optional<OrganisationQueue> next = selectNext(nowNanos);
		while (next.isPresent()) {
			OrganisationQueue queue = next.get();
			AdmissionTicket ticket = queue.waiting().poll().ticket();
			recordDequeued(queue);
			if (nowNanos - latestStartNanos(ticket) > 0) {
				actions.add(refuse(ticket, estimateWaitNanos(queue, queue.waiting().size(), nowNanos)));
			}
			else {
				actions.add(admit(ticket, queue, nowNanos));
			}
			next = selectNext(nowNanos);
		}
		return actions;
	}

	private Optional<OrganisationQueue> selectNext(long nowNanos) {
		if (this.waiting == 0 || this.inProgress >= this.slots) {
			return Optional.empty();
		}
		OrganisationQueue best = null;
		for (OrganisationQueue candidate : this.organisations.values()) {
			if (candidate.waiting().isEmpty() || !canTakeSlot(candidate, nowNanos)) {
				continue;
			}
			if (best == null || hasPrecedence(candidate, best)) {
				best = candidate;
			}
		}
		return Optional.ofNullable(best);
	}

	private boolean canTakeSlot(OrganisationQueue queue, long nowNanos) {
		int free = this.slots - this.inProgress;
		if (free <= 0) {
			return false;
		}
		return !isFlooding(queue, nowNanos) || free > RESERVED_SLOTS_PER_SQRT * Math.sqrt(this.slots);
	}

	private boolean isFlooding(OrganisationQueue queue, long nowNanos) {
		double share = fairShare(queue);
		double demandedSlots = queue.requestsPerNano(nowNanos) * this.meanHoldingNanos;
		return queue.inProgress() + 1 > share && demandedSlots > FLOODING_RATIO * share;
	}

	private double fairShare(OrganisationQueue queue) {
		return this.slots * queue.weight() / this.activeWeight;
	}

	private boolean hasPrecedence(OrganisationQueue first, OrganisationQueue second) {
		boolean firstBelow = isBelowShare(first, 0);
		if (firstBelow != isBelowShare(second, 0)) {
			return firstBelow;
		}
		if (firstBelow && first.priority() != second.priority()) {
			return first.priority() < second.priority();
		}
		return first.slotsPerWeight() < second.slotsPerWeight();
	}

	private boolean isBelowShare(OrganisationQueue queue, int requestsAhead) {
		return queue.inProgress() + requestsAhead + 1 <= fairShare(queue);
	}

	private double estimateWaitNanos(OrganisationQueue queue, int requestsAhead, long nowNanos) {
		if (this.slots == 0) {
			return Double.MAX_VALUE;
		}
		double slotsFreedPerNano = this.slots / this.meanHoldingNanos;
		if (isBelowShare(queue, requestsAhead)) {
			int turns = Math.max(1, this.waitingOrganisations);
			return (requestsAhead + 1) * turns / slotsFreedPerNano;
		}
		double fairSharePerNano = slotsFreedPerNano * queue.weight() / this.activeWeight;
		// An organisation may also use what the others leave unused.
		double ratePerNano = Math.max(fairSharePerNano, queue.admissionsPerNano(nowNanos));
		return (requestsAhead + 1) / ratePerNano;
	}

	private void refuseLate(OrganisationQueue queue, long nowNanos, List<AdmissionAction> actions) {
		int requestsAhead = 0;
		Iterator<WaitingTicket> tickets = queue.waiting().iterator();
		while (tickets.hasNext()) {
			WaitingTicket next = tickets.next();
			AdmissionTicket ticket = next.ticket();
			double waitNanos = estimateWaitNanos(queue, requestsAhead, nowNanos);
			boolean inTime = waitNanos <= latestStartNanos(ticket) - nowNanos;
			if (inTime || nowNanos - next.loanWaitUntilNanos() < 0) {
				requestsAhead++;
				continue;
			}
			tickets.remove();
			recordDequeued(queue);
			actions.add(refuse(ticket, waitNanos));
		}
	}

	private AdmissionAction admit(AdmissionTicket ticket, OrganisationQueue queue, long nowNanos) {
		queue.recordAdmission(nowNanos);
		this.inProgress++;
		return new AdmissionAction.Admit(ticket);
	}

	private AdmissionAction refuse(AdmissionTicket ticket, double waitNanos) {
		double waitMillis = Math.ceil(waitNanos / TimeUnit.MILLISECONDS.toNanos(1));
		long retryAfterMillis = (long) Math.max(1, Math.min(waitMillis, this.parameters.maxRetryAfterMillis()));
		return new AdmissionAction.Refuse(ticket, retryAfterMillis);
	}

	private OrganisationQueue activateQueue(AdmissionTicket ticket, long nowNanos) {
		OrganisationQueue queue = this.organisations.get(ticket.organisation());
		if (queue == null) {
			queue = new OrganisationQueue(nowNanos);
			this.organisations.put(ticket.organisation(), queue);
		}
		this.activeWeight += ticket.weight() - queue.weight();
		queue.recordRequest(ticket, nowNanos);
		return queue;
	}

	private void removeIdleOrganisations(long nowNanos) {
		this.lastCleanupNanos = nowNanos;
		this.organisations.values().removeIf((queue) -> queue.isIdleSince(nowNanos - IDLE_RETENTION_NANOS));
		this.activeWeight = this.organisations.values().stream().mapToDouble(OrganisationQueue::weight).sum();
	}

	private void enqueue(WaitingTicket ticket, OrganisationQueue queue) {
		if (queue.waiting().isEmpty()) {
			this.waitingOrganisations++;
		}
		queue.waiting().add(ticket);
		this.waiting++;
	}

	private void recordDequeued(OrganisationQueue queue) {
		this.waiting--;
		if (queue.waiting().isEmpty()) {
			this.waitingOrganisations--;
		}
	}

	private long latestStartNanos(AdmissionTicket ticket) {
		return ticket.deadlineNanos() - this.firstTokenReserveNanos;
	}

}
