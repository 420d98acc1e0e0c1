package org.burdocktray.bench.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.burdocktray.process.limits.AdmissionAction;
import org.burdocktray.process.limits.AdmissionTicket;
import org.burdocktray.process.limits.SlotLoanMessage;

/**
 * Controls the admission of requests on one simulated VM. Thread safety: confined to one
 * thread at a time.
 */
interface VmAdmission {

	List<AdmissionAction> request(AdmissionTicket ticket, long nowNanos);

	List<AdmissionAction> release(AdmissionTicket ticket, long heldNanos, long nowNanos);

	List<AdmissionAction> tick(long nowNanos);

	/**
	 * Returns borrowed slots that are not needed.
	 * @param nowNanos the virtual time
	 * @return the messages to other VMs
	 */
	default List<SlotLoanMessage.Outgoing> returnSlots(long nowNanos) {
		return List.of();
	}

	/**
	 * Requests loans of slots for queued requests.
	 * @param nowNanos the virtual time
	 * @return the messages to other VMs
	 */
	default List<SlotLoanMessage.Outgoing> requestSlots(long nowNanos) {
		return List.of();
	}

	/**
	 * Handles a slot loan message of another VM.
	 * @param from the sender
	 * @param message the message
	 * @param nowNanos the virtual time
	 * @return the actions for queued requests, and the reply to the sender if there is
	 * one
	 */
	default LoanMessageResult receive(String from, SlotLoanMessage message, long nowNanos) {
		return new LoanMessageResult(List.of(), Optional.empty());
	}

	/**
	 * Returns an admission without a limit.
	 * @return an admission that admits every request at once
	 */
	static VmAdmission unlimited() {
		return new QueueingLimit(Integer.MAX_VALUE);
	}

	/**
	 * The result of handling a message of another VM.
	 *
	 * @param actions the actions for queued requests
	 * @param reply the reply to the sender, empty if none is due
	 */
	record LoanMessageResult(List<AdmissionAction> actions, Optional<SlotLoanMessage> reply) {

	}

	/**
	 * Limits the requests in progress to a fixed number and queues the others in FIFO
	 * order.
	 */
	final class QueueingLimit implements VmAdmission {

		private final int limit;

		private final Deque<AdmissionTicket> queue = new ArrayDeque<>();

		private int inProgress;

		QueueingLimit(int limit) {
			this.limit = limit;
		}

		@Override
		public List<AdmissionAction> request(AdmissionTicket ticket, long nowNanos) {
			if (this.inProgress >= this.limit) {
				this.queue.add(ticket);
				return List.of();
			}
			this.inProgress++;
			return List.of(new AdmissionAction.Admit(ticket));
		}

		@Override
		public List<AdmissionAction> release(AdmissionTicket ticket, long heldNanos, long nowNanos) {
			this.inProgress--;
			if (this.queue.isEmpty()) {
				return List.of();
			}
			this.inProgress++;
			return List.of(new AdmissionAction.Admit(this.queue.poll()));
		}

		@Override
		public List<AdmissionAction> tick(long nowNanos) {
			return List.of();
		}

	}

	/**
	 * Limits the requests in progress to a fixed number and refuses the others.
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
