package org.burdocktray.process.limits;

/**
 * A message between VMs about a loan of slots. Thread safety: immutable.
 */
public sealed interface SlotLoanMessage {

	/**
	 * Returns the number of the loan, which increases with each request of one borrower.
	 * @return the number
	 */
	long loanNumber();

	/**
	 * Requests a loan.
	 *
	 * @param loanNumber the number of the loan
	 * @param slots the number of slots
	 */
	record Request(long loanNumber, int slots) implements SlotLoanMessage {

	}

	/**
	 * Grants a loan.
	 *
	 * @param loanNumber the number of the loan
	 * @param slots the number of slots; 0 if none is lent
	 */
	record Grant(long loanNumber, int slots) implements SlotLoanMessage {

	}

	/**
	 * Returns the slots of a loan.
	 *
	 * @param loanNumber the number of the loan
	 */
	record Return(long loanNumber) implements SlotLoanMessage {

	}

	/**
	 * A message to send.
	 *
	 * @param peer the name of the receiving VM
	 * @param message the message
	 */
	record Outgoing(String peer, SlotLoanMessage message) {

	}

}
