package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests for one target get this VM's places at the engines. It does no
 * I/O.
 *
 * A place that becomes free goes to a waiting organisation that holds less than its
 * weighted share, the lowest class first, then the one that holds least for its weight;
 * when all hold their share, to the one that holds least for its weight. The wait is
 * estimated from the places ahead and the mean time for which places were held lately.
 *
 * An organisation that holds its share and lately asked for more than twice as much
 * floods: it leaves the last few free places to the others, so that these need not wait
 * for a place to become free. An organisation alone never floods.
 *
 * Invariants: no more requests are admitted than there are places; no place stays free
 * while an organisation waits that does not flood; each ticket gets at most one action; a
 * request leaves the queue at the first tick at which its estimated wait is longer than
 * its time. Thread safety: confined to one thread at a time.
 */
public final class FairShareAdmission {

	private static final double HOLDING_TIME_SMOOTHING = 1.0 / 32;

	private static final double RESERVED_SLOTS_PER_SQRT = 2.0 / 3;

	private static final double FLOODING_RATIO = 2;

	private static final long IDLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final AdmissionParameters parameters;

	private final long firstTokenReserveNanos;

	// An organisation keeps its part of the whole for a while after its last request.
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
	 * Creates an admission.
	 * @param parameters bounds on the wait
	 * @param places the places this VM has
	 * @param expectedHoldingMillis how long a request is expected to hold its place,
	 * until it has been observed
	 */
	public FairShareAdmission(AdmissionParameters parameters, int places, long expectedHoldingMillis) {
		this.parameters = parameters;
		this.firstTokenReserveNanos = TimeUnit.MILLISECONDS.toNanos(parameters.firstTokenReserveMillis());
		this.maxLoanWaitNanos = TimeUnit.MILLISECONDS.toNanos(parameters.maxLoanWaitMillis());
		this.slots = Math.max(0, places);
		this.meanHoldingNanos = TimeUnit.MILLISECONDS.toNanos(expectedHoldingMillis);
	}

	/**
	 * Asks for a place.
	 * @param ticket the request
	 * @param nowNanos the time
	 * @return the decision, or nothing while the request waits
	 */
	public List<AdmissionAction> request(AdmissionTicket ticket, long nowNanos) {
		OrganisationQueue queue = activateQueue(ticket, nowNanos);
		boolean first = queue.waiting().isEmpty() && canTakeSlot(queue, nowNanos);
		if (first && nowNanos - latestStartNanos(ticket) <= 0) {
			return List.of(admit(ticket, queue, nowNanos));
		}
		double waitNanos = estimateWaitNanos(queue, queue.waiting().size(), nowNanos);
		double timeNanos = latestStartNanos(ticket) - nowNanos;
		if (queue.waiting().size() >= this.parameters.maxWaitingPerOrganisation() || timeNanos <= 0) {
			return List.of(refuse(ticket, waitNanos));
		}
		if (waitNanos <= timeNanos * this.parameters.maxWaitRatio()) {
			enqueue(new WaitingTicket(ticket, nowNanos), queue);
			return List.of();
		}
		if (!this.borrowingEnabled || isFlooding(queue, nowNanos)) {
			return List.of(refuse(ticket, waitNanos));
		}
		// Another VM may lend a place at once.
		enqueue(new WaitingTicket(ticket, nowNanos + this.maxLoanWaitNanos), queue);
		return List.of();
	}

	/**
	 * Gives a place back.
	 * @param ticket the request that held it
	 * @param heldNanos how long it was held
	 * @param nowNanos the time
	 * @return decisions on waiting requests
	 */
	public List<AdmissionAction> release(AdmissionTicket ticket, long heldNanos, long nowNanos) {
		this.meanHoldingNanos += (heldNanos - this.meanHoldingNanos) * HOLDING_TIME_SMOOTHING;
		OrganisationQueue queue = this.organisations.get(ticket.organisation());
		queue.recordRelease();
		this.inProgress--;
		return dispatch(nowNanos);
	}

	/**
	 * Takes a request out of the queue because its caller went away.
	 * @param ticket the request
	 * @return whether it was waiting
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
	 * Refuses waiting requests that can't start in time any more. To be called several
	 * times within the time of a request.
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
	 * Changes the number of places. Requests in progress keep theirs.
	 * @param newPlaces the places this VM has from now on
	 * @param nowNanos the time
	 * @return decisions on waiting requests
	 */
	public List<AdmissionAction> resize(int newPlaces, long nowNanos) {
		this.slots = Math.max(0, newPlaces);
		return dispatch(nowNanos);
	}

	/**
	 * Says whether other VMs may lend places. While they may, a request that finds no
	 * place waits for a moment for a loan.
	 * @param possible whether there are peers to ask
	 */
	public void setBorrowingEnabled(boolean possible) {
		this.borrowingEnabled = possible;
	}

	/**
	 * Returns how many waiting requests deserve a borrowed place.
	 * @param nowNanos the time
	 * @return the number of requests of organisations that do not flood
	 */
	public int slotsToBorrow(long nowNanos) {
		if (this.waiting == 0) {
			return 0;
		}
		int wanted = 0;
		for (OrganisationQueue queue : this.organisations.values()) {
			wanted += isFlooding(queue, nowNanos) ? 0 : queue.waiting().size();
		}
		return wanted;
	}

	/**
	 * Returns how many requests wait.
	 * @return the number of requests
	 */
	public int waiting() {
		return this.waiting;
	}

	/**
	 * Returns how many requests hold a place.
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
		double demandedPlaces = queue.requestsPerNano(nowNanos) * this.meanHoldingNanos;
		return queue.inProgress() + 1 > share && demandedPlaces > FLOODING_RATIO * share;
	}

	private double fairShare(OrganisationQueue queue) {
		return this.slots * queue.weight() / this.activeWeight;
	}

	private boolean hasPrecedence(OrganisationQueue one, OrganisationQueue other) {
		boolean oneBelow = isBelowShare(one, 0);
		if (oneBelow != isBelowShare(other, 0)) {
			return oneBelow;
		}
		if (oneBelow && one.priority() != other.priority()) {
			return one.priority() < other.priority();
		}
		return one.slotsPerWeight() < other.slotsPerWeight();
	}

	private boolean isBelowShare(OrganisationQueue queue, int requestsAhead) {
		return queue.inProgress() + requestsAhead + 1 <= fairShare(queue);
	}

	private double estimateWaitNanos(OrganisationQueue queue, int requestsAhead, long nowNanos) {
		if (this.slots == 0) {
			return Double.MAX_VALUE;
		}
		double placesFreedPerNano = this.slots / this.meanHoldingNanos;
		if (isBelowShare(queue, requestsAhead)) {
			int turns = Math.max(1, this.waitingOrganisations);
			return (requestsAhead + 1) * turns / placesFreedPerNano;
		}
		double ownPerNano = placesFreedPerNano * queue.weight() / this.activeWeight;
		// What others leave unused is open to this organisation too.
		double ratePerNano = Math.max(ownPerNano, queue.admissionsPerNano(nowNanos));
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
