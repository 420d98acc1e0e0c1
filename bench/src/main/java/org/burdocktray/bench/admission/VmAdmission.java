package org.burdocktray.bench.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.burdocktray.process.limits.AdmissionAction;
import org.burdocktray.process.limits.AdmissionTicket;
import org.burdocktray.process.limits.SlotLoanMessage;

/**
 * The admission of one simulated VM. Thread safety: confined to one thread at a time.
 */
interface VmAdmission {

	List<AdmissionAction> request(AdmissionTicket ticket, long nowNanos);

	List<AdmissionAction> release(AdmissionTicket ticket, long heldNanos, long nowNanos);

	List<AdmissionAction> tick(long nowNanos);

	/**
	 * Returns borrowed places that are not needed.
	 * @param nowNanos the time
	 * @return messages to other VMs
	 */
	default List<SlotLoanMessage.Outgoing> returnSlots(long nowNanos) {
		return List.of();
	}

	/**
	 * Asks for places for waiting requests.
	 * @param nowNanos the time
	 * @return messages to other VMs
	 */
	default List<SlotLoanMessage.Outgoing> requestSlots(long nowNanos) {
		return List.of();
	}

	/**
	 * Takes in a message of another VM.
	 * @param from the other VM
	 * @param message the message
	 * @param nowNanos the time
	 * @return what became of waiting requests, and the answer
	 */
	default LoanMessageResult receive(String from, SlotLoanMessage message, long nowNanos) {
		return new LoanMessageResult(List.of(), Optional.empty());
	}

	/**
	 * No admission control.
	 * @return an admission that admits everything
	 */
	static VmAdmission unlimited() {
		return new QueueingLimit(Integer.MAX_VALUE);
	}

	/**
	 * What follows from a message of another VM.
	 *
	 * @param actions what became of waiting requests
	 * @param reply the answer
	 */
	record LoanMessageResult(List<AdmissionAction> actions, Optional<SlotLoanMessage> reply) {

	}

	/**
	 * A fixed limit of requests in progress, with a first-come queue behind it.
	 */
	final class QueueingLimit implements VmAdmission {

		private final int limit;

		private final Deque<AdmissionTicket> waiting = new ArrayDeque<>();

		private int inProgress;

		QueueingLimit(int limit) {
			this.limit = limit;
		}

		@Override
		public List<AdmissionAction> request(AdmissionTicket ticket, long nowNanos) {
			if (this.inProgress >= this.limit) {
				this.waiting.add(ticket);
				return List.of();
			}
			this.inProgress++;
			return List.of(new AdmissionAction.Admit(ticket));
		}

		@Override
		public List<AdmissionAction> release(AdmissionTicket ticket, long heldNanos, long nowNanos) {
			this.inProgress--;
			if (this.waiting.isEmpty()) {
				return List.of();
			}
			this.inProgress++;
			return List.of(new AdmissionAction.Admit(this.waiting.poll()));
		}

		@Override
		public List<AdmissionAction> tick(long nowNanos) {
			return List.of();
		}

	}

	/**
	 * A fixed limit of requests in progress that refuses what is above it.
	 */
	final class RefusingLimit implements VmAdmission {

		private static final long RETRY_AFTER_MILLIS = 1000;

		private final int limit;

		private int inProgress;

		RefusingLimit(int limit) {
			this.limit = limit;
		}

		@Override
		public List<AdmissionAction> request(AdmissionTicket ticket, long nowNanos) {
			if (this.inProgress >= this.limit) {
				return List.of(new AdmissionAction.Refuse(ticket, RETRY_AFTER_MILLIS));
			}
			this.inProgress++;
			return List.of(new AdmissionAction.Admit(ticket));
		}

		@Override
		public List<AdmissionAction> release(AdmissionTicket ticket, long heldNanos, long nowNanos) {
			this.inProgress--;
			return List.of();
		}

		@Override
		public List<AdmissionAction> tick(long nowNanos) {
			return List.of();
		}

	}

}
