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
 * This VM's part of one target's places: its own part, less what it lent, and what it
 * borrowed. It does no I/O.
 *
 * Invariant: the places of all VMs sum to at most their own parts, whatever messages are
 * lost, late or doubled and whoever is cut off or dies. A lender counts a loan until it
 * is returned or its term ended; a borrower's term starts before the lender's and is
 * shorter by the clocks' drift. A VM that hears of no peer has its own part less what it
 * lent, which is at most half. A VM that takes the place of a dead one uses only half and
 * lends nothing until all loans of its predecessors ended. Thread safety: confined to one
 * thread at a time.
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
	 * Creates the share of a VM that just started.
	 * @param parameters bounds on the loans
	 * @param ownPlaces its own part
	 * @param firstLoanNumber above all loan numbers that an earlier process of this VM's
	 * name used
	 * @param takesOver whether another VM may have lent from this part before
	 * @param nowNanos the time
	 */
	public SlotShare(SlotShareParameters parameters, int ownPlaces, long firstLoanNumber, boolean takesOver,
			long nowNanos) {
		this.parameters = parameters;
		this.ownSlots = ownPlaces;
		this.nextLoanNumber = firstLoanNumber;
		double drift = 1 + parameters.clockDriftRatio();
		this.lenderTermNanos = (long) (TimeUnit.MILLISECONDS.toNanos(parameters.loanTermMillis()) * drift);
		this.fullShareFromNanos = (takesOver) ? nowNanos + this.lenderTermNanos : nowNanos;
		this.nextRequestNanos = nowNanos;
	}

	/**
	 * Splits the whole without a remainder.
	 * @param whole the places of the fleet
	 * @param seat the VM's number, from 0
	 * @param seats the number of VMs for which the fleet is planned
	 * @return the VM's own part
	 */
	public static int ownShare(int whole, int seat, int seats) {
		return (int) ((long) whole * (seat + 1) / seats - (long) whole * seat / seats);
	}

	/**
	 * Returns the places on which this VM may admit.
	 * @param nowNanos the time
	 * @return the number of places
	 */
	public int usableSlots(long nowNanos) {
		removeExpiredLoans(nowNanos);
		int admitting = this.borrowed.stream()
			.filter((loan) -> nowNanos - loan.admittingUntilNanos() < 0)
			.mapToInt(Loan::slots)
			.sum();
		return Math.max(0, usableOwnSlots(nowNanos) - totalSlots(this.lent) + admitting);
	}

	/**
	 * Returns the places that this VM holds, with those of loans on which it no longer
	 * admits.
	 * @param nowNanos the time
	 * @return the number of places
	 */
	int heldSlots(long nowNanos) {
		removeExpiredLoans(nowNanos);
		return Math.max(0, usableOwnSlots(nowNanos) - totalSlots(this.lent) + totalSlots(this.borrowed));
	}

	/**
	 * Changes the VM's own part, as a new bundle has it.
	 * @param newOwnPlaces the places
	 */
	public void resizeOwnShare(int newOwnPlaces) {
		this.ownSlots = newOwnPlaces;
	}

	/**
	 * Returns what is not needed. To be called several times a second.
	 * @param inProgress the requests that hold a place on this VM
	 * @param nowNanos the time
	 * @return messages to peers
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
	 * Asks for places for which requests wait. To be called when a request joins the
	 * queue and while it waits.
	 * @param wantedPlaces how many
	 * @param peers the names of the VMs believed alive, without this one
	 * @param random chooses the peers
	 * @param nowNanos the time
	 * @return messages to peers
	 */
	public List<SlotLoanMessage.Outgoing> requestLoans(int wantedPlaces, List<String> peers, RandomGenerator random,
			long nowNanos) {
		if (wantedPlaces <= 0 || peers.isEmpty() || nowNanos - this.nextRequestNanos < 0) {
			return List.of();
		}
		this.nextRequestNanos = nowNanos + this.requestIntervalNanos;
		this.requestIntervalNanos = Math.min(MAX_REQUEST_INTERVAL_NANOS, 2 * this.requestIntervalNanos);
		List<SlotLoanMessage.Outgoing> messages = new ArrayList<>();
		for (int asked = 0; asked < PEERS_PER_ROUND; asked++) {
			PendingRequest ask = new PendingRequest(peers.get(random.nextInt(peers.size())), this.nextLoanNumber++,
					nowNanos);
			this.pendingRequests.add(ask);
			messages.add(new SlotLoanMessage.Outgoing(ask.peer(),
					new SlotLoanMessage.Request(ask.loanNumber(), wantedPlaces)));
		}
		return messages;
	}

	/**
	 * Answers a peer that asks for places.
	 * @param borrower the peer
	 * @param ask what it asks
	 * @param inProgress the requests that hold a place on this VM
	 * @param nowNanos the time
	 * @return the answer; empty for a request that was answered or given up before
	 */
	public Optional<SlotLoanMessage.Grant> onLoanRequest(String borrower, SlotLoanMessage.Request ask, int inProgress,
			long nowNanos) {
		if (!recordIfNew(borrower, ask.loanNumber())) {
			return Optional.empty();
		}
		int free = usableSlots(nowNanos) - inProgress;
		int lendable = (hasFullShare(nowNanos)) ? this.ownSlots / 2 - totalSlots(this.lent) : 0;
		int granted = Math.max(0, Math.min(ask.slots(), Math.min(lendable, free)));
		if (granted > 0) {
			long untilNanos = nowNanos + this.lenderTermNanos;
			this.lent.add(new Loan(borrower, ask.loanNumber(), granted, untilNanos, untilNanos));
		}
		return Optional.of(new SlotLoanMessage.Grant(ask.loanNumber(), granted));
	}

	/**
	 * Takes in a peer's answer.
	 * @param lender the peer
	 * @param grant its answer
	 * @param nowNanos the time
	 */
	public void onGrant(String lender, SlotLoanMessage.Grant grant, long nowNanos) {
		Optional<PendingRequest> asked = this.pendingRequests.stream()
			.filter((ask) -> ask.peer().equals(lender) && ask.loanNumber() == grant.loanNumber())
			.findFirst();
		if (asked.isEmpty()) {
			return;
		}
		this.pendingRequests.remove(asked.get());
		if (grant.slots() == 0) {
			return;
		}
		this.requestIntervalNanos = MIN_REQUEST_INTERVAL_NANOS;
		long askedNanos = asked.get().requestedNanos();
		this.borrowed.add(new Loan(lender, grant.loanNumber(), grant.slots(),
				askedNanos + TimeUnit.MILLISECONDS.toNanos(this.parameters.loanTermMillis()),
				askedNanos + TimeUnit.MILLISECONDS.toNanos(this.parameters.admissionPeriodMillis())));
	}

	/**
	 * Takes places back.
	 * @param borrower the peer that returns them
	 * @param returned the loan
	 */
	public void onReturn(String borrower, SlotLoanMessage.Return returned) {
		// A return may overtake the request that it gives up.
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
		Iterator<PendingRequest> asks = this.pendingRequests.iterator();
		while (asks.hasNext()) {
			PendingRequest ask = asks.next();
			if (nowNanos - ask.requestedNanos() < timeoutNanos) {
				continue;
			}
			asks.remove();
			messages.add(new SlotLoanMessage.Outgoing(ask.peer(), new SlotLoanMessage.Return(ask.loanNumber())));
		}
	}

	private void returnUnneededLoans(int inProgress, long nowNanos, List<SlotLoanMessage.Outgoing> messages) {
		Iterator<Loan> loans = this.borrowed.iterator();
		int held = heldSlots(nowNanos);
		int admitting = usableSlots(nowNanos);
		while (loans.hasNext()) {
			Loan loan = loans.next();
			boolean lapsed = nowNanos - loan.admittingUntilNanos() >= 0;
			int spare = (lapsed) ? held - inProgress : admitting - inProgress - SPARE_SLOTS;
			if (spare < loan.slots()) {
				continue;
			}
			loans.remove();
			held -= loan.slots();
			admitting -= (lapsed) ? 0 : loan.slots();
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
