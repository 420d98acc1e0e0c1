package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * This VM's share of one target's admission slots: its own slots, minus those lent to
 * other VMs, plus those borrowed from them. Performs no I/O.
 *
 * Invariant: the slots of all VMs never sum to more than the sum of their own shares,
 * even if messages are lost, delayed or duplicated and VMs are partitioned or fail. A
 * lender counts a loan until it is returned or its term has ended; the borrower's term
 * starts before the lender's and is shorter by the maximum clock drift. A VM without
 * reachable peers has its own slots minus those it lent, which are at most half. A VM
 * that replaces a failed one uses only half of its own slots and lends none until all
 * loans of its predecessors have ended. Thread safety: confined to one thread at a time.
 */
public final class SlotShare {

	private static final int SPARE_SLOTS = 1;

	private static final int PEERS_PER_ROUND = 2;

	private static final long MIN_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private static final long MAX_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

	private final SlotShareParameters parameters;

	private final long lenderTermNanos;

	private final long fullShareFromNanos;

	private final List<Loan> lent = new ArrayList<>();

	private final List<Loan> borrowed = new ArrayList<>();

	private final Map<String, Long> lastLoanNumbers = new HashMap<>();

	private final List<PendingRequest> pendingRequests = new ArrayList<>();

	private int ownSlots;

	private long nextLoanNumber;

	private long nextRequestNanos;

	private long requestIntervalNanos = MIN_REQUEST_INTERVAL_NANOS;

	/**
	 * Creates the share of a VM that is starting.
	 * @param parameters the limits on loans
	 * @param ownSlots the VM's own slots
	 * @param firstLoanNumber a number above all loan numbers that earlier processes with
	 * this VM's name used
	 * @param hasPredecessor whether an earlier process may have lent from these slots
	 * @param nowNanos the time
	 */
	public SlotShare(SlotShareParameters parameters, int ownSlots, long firstLoanNumber, boolean hasPredecessor,
			long nowNanos) {
		this.parameters = parameters;
		this.ownSlots = ownSlots;
		this.nextLoanNumber = firstLoanNumber;
		double drift = 1 + parameters.clockDriftRatio();
		this.lenderTermNanos = (long) (TimeUnit.MILLISECONDS.toNanos(parameters.loanTermMillis()) * drift);
		this.fullShareFromNanos = (hasPredecessor) ? nowNanos + this.lenderTermNanos : nowNanos;
		this.nextRequestNanos = nowNanos;
	}

	/**
	 * Returns a VM's share of the fleet's slots. The shares of all VMs sum to the total.
	 * @param total the slots of the fleet
	 * @param vmIndex the VM's index, from 0
	 * @param vmCount the number of VMs for which the fleet is planned
	 * @return the VM's own slots
	 */
	public static int ownShare(int total, int vmIndex, int vmCount) {
		return (int) ((long) total * (vmIndex + 1) / vmCount - (long) total * vmIndex / vmCount);
	}

	/**
	 * Returns the slots on which this VM may admit requests.
	 * @param nowNanos the time
	 * @return the number of slots
	 */
	public int usableSlots(long nowNanos) {
		removeExpiredLoans(nowNanos);
		int usable = this.borrowed.stream()
			.filter((loan) -> nowNanos - loan.admittingUntilNanos() < 0)
			.mapToInt(Loan::slots)
			.sum();
		return Math.max(0, usableOwnSlots(nowNanos) - totalSlots(this.lent) + usable);
	}

	/**
	 * Returns the slots that this VM holds, including those of loans on which it no
	 * longer admits requests.
	 * @param nowNanos the time
	 * @return the number of slots
	 */
	int heldSlots(long nowNanos) {
		removeExpiredLoans(nowNanos);
		return Math.max(0, usableOwnSlots(nowNanos) - totalSlots(this.lent) + totalSlots(this.borrowed));
	}

	/**
	 * Changes the number of the VM's own slots when a new bundle takes effect.
	 * @param newOwnSlots the new number of own slots
	 */
	public void resizeOwnShare(int newOwnSlots) {
		this.ownSlots = newOwnSlots;
	}

	/**
	 * Returns loans that are not needed and cancels loan requests that have timed out.
	 * Must be called several times per second.
	 * @param inProgress the number of requests that hold a slot on this VM
	 * @param nowNanos the time
	 * @return the messages to send to peers
	 */
	public List<SlotLoanMessage.Outgoing> tick(int inProgress, long nowNanos) {
		if (this.pendingRequests.isEmpty() && this.borrowed.isEmpty()) {
			return List.of();
		}
		List<SlotLoanMessage.Outgoing> messages = new ArrayList<>();
		cancelTimedOutRequests(nowNanos, messages);
		returnUnneededLoans(inProgress, nowNanos, messages);
		return messages;
	}

	/**
	 * Requests loans for queued requests, at a limited rate. Must be called when a
	 * request joins the queue and while it waits.
	 * @param slots the number of slots to borrow
	 * @param peers the names of the VMs considered alive, without this one
	 * @param random selects the peers
	 * @param nowNanos the time
	 * @return the messages to send to peers
	 */
	public List<SlotLoanMessage.Outgoing> requestLoans(int slots, List<String> peers, RandomGenerator random,
			long nowNanos) {
		if (slots <= 0 || peers.isEmpty() || nowNanos - this.nextRequestNanos < 0) {
			return List.of();
		}
		this.nextRequestNanos = nowNanos + this.requestIntervalNanos;
		this.requestIntervalNanos = Math.min(MAX_REQUEST_INTERVAL_NANOS, 2 * this.requestIntervalNanos);
		List<SlotLoanMessage.Outgoing> messages = new ArrayList<>();
		for (int sent = 0; sent < PEERS_PER_ROUND; sent++) {
			PendingRequest request = new PendingRequest(peers.get(random.nextInt(peers.size())), this.nextLoanNumber++,
					nowNanos);
			this.pendingRequests.add(request);
			messages.add(new SlotLoanMessage.Outgoing(request.peer(),
					new SlotLoanMessage.Request(request.loanNumber(), slots)));
		}
		return messages;
	}

	/**
	 * Handles a peer's loan request.
	 * @param borrower the peer
	 * @param request the loan request
	 * @param inProgress the number of requests that hold a slot on this VM
	 * @param nowNanos the time
	 * @return the reply; empty if the loan request was already answered or cancelled
	 */
	public Optional<SlotLoanMessage.Grant> onLoanRequest(String borrower, SlotLoanMessage.Request request,
			int inProgress, long nowNanos) {
		if (!recordIfNew(borrower, request.loanNumber())) {
			return Optional.empty();
		}
		int freeSlots = usableSlots(nowNanos) - inProgress;
		int lendable = (hasFullShare(nowNanos)) ? this.ownSlots / 2 - totalSlots(this.lent) : 0;
		int granted = Math.max(0, Math.min(request.slots(), Math.min(lendable, freeSlots)));
		if (granted > 0) {
			long untilNanos = nowNanos + this.lenderTermNanos;
			this.lent.add(new Loan(borrower, request.loanNumber(), granted, untilNanos, untilNanos));
		}
		return Optional.of(new SlotLoanMessage.Grant(request.loanNumber(), granted));
	}

	/**
	 * Handles a peer's reply to a loan request.
	 * @param lender the peer
	 * @param grant the reply
	 * @param nowNanos the time
	 */
	public void onGrant(String lender, SlotLoanMessage.Grant grant, long nowNanos) {
		Optional<PendingRequest> pending = this.pendingRequests.stream()
			.filter((request) -> request.peer().equals(lender) && request.loanNumber() == grant.loanNumber())
			.findFirst();
		if (pending.isEmpty()) {
			return;
		}
		this.pendingRequests.remove(pending.get());
		if (grant.slots() == 0) {
			return;
		}
		this.requestIntervalNanos = MIN_REQUEST_INTERVAL_NANOS;
		long requestedNanos = pending.get().requestedNanos();
		this.borrowed.add(new Loan(lender, grant.loanNumber(), grant.slots(),
				requestedNanos + TimeUnit.MILLISECONDS.toNanos(this.parameters.loanTermMillis()),
				requestedNanos + TimeUnit.MILLISECONDS.toNanos(this.parameters.admissionPeriodMillis())));
	}

	/**
	 * Handles the return of a loan.
	 * @param borrower the peer that returns the loan
	 * @param returned the loan
	 */
	public void onReturn(String borrower, SlotLoanMessage.Return returned) {
		// A return may arrive before the loan request that it cancels. Recording its
		// number makes the late request ignored.
		recordIfNew(borrower, returned.loanNumber());
		this.lent.removeIf((loan) -> loan.peer().equals(borrower) && loan.loanNumber() == returned.loanNumber());
	}

	private boolean recordIfNew(String borrower, long loanNumber) {
		Long last = this.lastLoanNumbers.get(borrower);
		if (last != null && loanNumber <= last) {
			return false;
		}
		this.lastLoanNumbers.put(borrower, loanNumber);
		return true;
	}

	private void cancelTimedOutRequests(long nowNanos, List<SlotLoanMessage.Outgoing> messages) {
		long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(this.parameters.requestTimeoutMillis());
		Iterator<PendingRequest> requests = this.pendingRequests.iterator();
		while (requests.hasNext()) {
			PendingRequest request = requests.next();
			if (nowNanos - request.requestedNanos() < timeoutNanos) {
				continue;
			}
			requests.remove();
			messages
				.add(new SlotLoanMessage.Outgoing(request.peer(), new SlotLoanMessage.Return(request.loanNumber())));
		}
	}

	private void returnUnneededLoans(int inProgress, long nowNanos, List<SlotLoanMessage.Outgoing> messages) {
		Iterator<Loan> loans = this.borrowed.iterator();
		int held = heldSlots(nowNanos);
		int usable = usableSlots(nowNanos);
		while (loans.hasNext()) {
			Loan loan = loans.next();
			boolean admissionEnded = nowNanos - loan.admittingUntilNanos() >= 0;
			int spare = (admissionEnded) ? held - inProgress : usable - inProgress - SPARE_SLOTS;
			if (spare < loan.slots()) {
				continue;
			}
			loans.remove();
			held -= loan.slots();
			usable -= (admissionEnded) ? 0 : loan.slots();
			messages.add(new SlotLoanMessage.Outgoing(loan.peer(), new SlotLoanMessage.Return(loan.loanNumber())));
		}
	}

	private void removeExpiredLoans(long nowNanos) {
		this.lent.removeIf((loan) -> nowNanos - loan.untilNanos() >= 0);
		this.borrowed.removeIf((loan) -> nowNanos - loan.untilNanos() >= 0);
	}

	private int usableOwnSlots(long nowNanos) {
		return (hasFullShare(nowNanos)) ? this.ownSlots : this.ownSlots - this.ownSlots / 2;
	}

	private boolean hasFullShare(long nowNanos) {
		return nowNanos - this.fullShareFromNanos >= 0;
	}

	private static int totalSlots(List<Loan> loans) {
		return loans.stream().mapToInt(Loan::slots).sum();
	}

	private record Loan(String peer, long loanNumber, int slots, long untilNanos, long admittingUntilNanos) {

	}

	private record PendingRequest(String peer, long loanNumber, long requestedNanos) {

	}

}
