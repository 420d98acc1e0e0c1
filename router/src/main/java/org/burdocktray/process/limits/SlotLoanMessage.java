package org.burdocktray.process.limits;

/**
 * What VMs tell each other to lend places. Thread safety: immutable.
 */
public sealed interface SlotLoanMessage {

	/**
	 * Returns the number of the loan, which grows with each request of one borrower.
	 * @return the number
	 */
	long loanNumber();

	/**
	 * Asks for places.
	 *
	 * @param loanNumber the number of the loan
	 * @param slots how many
	 */
	record Request(long loanNumber, int slots) implements SlotLoanMessage {

	}

	/**
	 * Lends places.
	 *
	 * @param loanNumber the number of the loan
	 * @param slots how many; 0 for none
	 */
	record Grant(long loanNumber, int slots) implements SlotLoanMessage {

	}

	/**
	 * Gives the places of a loan back.
	 *
	 * @param loanNumber the number of the loan
	 */
	record Return(long loanNumber) implements SlotLoanMessage {

	}

	/**
	 * A message on its way out.
	 *
	 * @param peer the VM it is for
	 * @param message the message
	 */
	record Outgoing(String peer, SlotLoanMessage message) {

	}

}
