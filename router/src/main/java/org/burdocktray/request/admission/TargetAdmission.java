package org.burdocktray.request.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vavr.control.Either;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.limits.AdmissionAction;
import org.burdocktray.process.limits.AdmissionTicket;
import org.burdocktray.process.limits.FairShareAdmission;
import org.burdocktray.process.limits.SlotLoanMessage;
import org.burdocktray.process.limits.SlotShare;

/**
 * Admission to one target. Invariant: a slot whose caller disconnected before the slot
 * was delivered is released. Thread safety: safe from any thread; the lock of this object
 * guards the decisions and is not held while decisions are delivered or messages are
 * sent.
 */
final class TargetAdmission {

	private final LongSupplier nanoClock;

	private final String target;

	private final FairShareAdmission admission;

	private final SlotShare share;

	private final SlotExchange exchange;

	private final Map<AdmissionTicket, SingleEmitter<Either<Refusal, Slot>>> waiting = new HashMap<>();

	TargetAdmission(String target, FairShareAdmission admission, SlotShare share, SlotExchange exchange,
			LongSupplier nanoClock) {
		this.target = target;
		this.admission = admission;
		this.share = share;
		this.exchange = exchange;
		this.nanoClock = nanoClock;
	}

	Single<Either<Refusal, AdmissionPermit>> admit(AdmissionRequest request) {
		AdmissionTicket ticket = new AdmissionTicket(request.organisation().name(), request.organisation().weight(),
				request.organisation().priority(), request.deadlineNanos());
		return Single.<Either<Refusal, Slot>>create((emitter) -> enqueue(ticket, emitter))
			.map((decision) -> decision.map(Slot::markDelivered));
	}

	void tick(int ownSlots) {
		List<String> peers = this.exchange.peers();
		List<Runnable> effects = new ArrayList<>();
		synchronized (this) {
			long nowNanos = this.nanoClock.getAsLong();
			this.admission.setBorrowingEnabled(!peers.isEmpty());
			this.share.resizeOwnShare(ownSlots);
			send(this.share.tick(this.admission.inProgress(), nowNanos), effects);
			collect(this.admission.resize(this.share.usableSlots(nowNanos), nowNanos), nowNanos, effects);
			collect(this.admission.tick(nowNanos), nowNanos, effects);
			requestLoans(peers, nowNanos, effects);
		}
		effects.forEach(Runnable::run);
	}

	void receive(String peer, SlotLoanMessage message) {
		List<Runnable> effects = new ArrayList<>();
		synchronized (this) {
			long nowNanos = this.nanoClock.getAsLong();
			if (message instanceof SlotLoanMessage.Request loanRequest) {
				this.share.onLoanRequest(peer, loanRequest, this.admission.inProgress(), nowNanos)
					.ifPresent((grant) -> send(List.of(new SlotLoanMessage.Outgoing(peer, grant)), effects));
			}
			else if (message instanceof SlotLoanMessage.Grant grant) {
				this.share.onGrant(peer, grant, nowNanos);
			}
			else if (message instanceof SlotLoanMessage.Return returned) {
				this.share.onReturn(peer, returned);
			}
			collect(this.admission.resize(this.share.usableSlots(nowNanos), nowNanos), nowNanos, effects);
		}
		effects.forEach(Runnable::run);
	}

	private void enqueue(AdmissionTicket ticket, SingleEmitter<Either<Refusal, Slot>> emitter) {
		List<Runnable> effects = new ArrayList<>(1);
		emitter.setCancellable(() -> withdraw(ticket));
		synchronized (this) {
			long nowNanos = this.nanoClock.getAsLong();
			this.waiting.put(ticket, emitter);
			List<AdmissionAction> actions = this.admission.request(ticket, nowNanos);
			collect(actions, nowNanos, effects);
			if (actions.isEmpty()) {
				requestLoans(this.exchange.peers(), nowNanos, effects);
			}
		}
		effects.forEach(Runnable::run);
	}

	private void requestLoans(List<String> peers, long nowNanos, List<Runnable> effects) {
		int slotsToBorrow = this.admission.slotsToBorrow(nowNanos);
		send(this.share.requestLoans(slotsToBorrow, peers, ThreadLocalRandom.current(), nowNanos), effects);
	}

	private void send(List<SlotLoanMessage.Outgoing> messages, List<Runnable> effects) {
		messages.forEach((outgoing) -> effects.add(() -> this.exchange.send(this.target, outgoing)));
	}

	private synchronized void withdraw(AdmissionTicket ticket) {
		if (this.waiting.remove(ticket) != null) {
			this.admission.withdraw(ticket);
		}
	}

	private void release(AdmissionTicket ticket, long admittedNanos) {
		List<Runnable> effects = new ArrayList<>(1);
		synchronized (this) {
			long nowNanos = this.nanoClock.getAsLong();
			collect(this.admission.release(ticket, nowNanos - admittedNanos, nowNanos), nowNanos, effects);
		}
		effects.forEach(Runnable::run);
	}

	private void collect(List<AdmissionAction> actions, long nowNanos, List<Runnable> effects) {
		for (AdmissionAction action : actions) {
			SingleEmitter<Either<Refusal, Slot>> emitter = this.waiting.remove(action.ticket());
			if (action instanceof AdmissionAction.Refuse refuse) {
				effects.add(() -> emitter.onSuccess(Either.left(refusal(refuse))));
				continue;
			}
			Slot slot = new Slot(action.ticket(), nowNanos);
			effects.add(() -> deliver(slot, emitter));
		}
	}

	private static void deliver(Slot slot, SingleEmitter<Either<Refusal, Slot>> emitter) {
		emitter.onSuccess(Either.right(slot));
		// The emitter drops the slot if the caller has disconnected in the meantime.
		if (!slot.delivered) {
			slot.release(0);
		}
	}

	private static Refusal refusal(AdmissionAction.Refuse refuse) {
		return Refusal.notRunRetryAfter(RefusalReason.OVERLOADED,
				"There is no capacity for this request before its deadline", refuse.retryAfterMillis());
	}

	/** The slot of an admitted request. Thread safety: safe from any thread. */
	private final class Slot implements AdmissionPermit {

		private final AtomicBoolean released = new AtomicBoolean();

		private final AdmissionTicket ticket;

		private final long admittedNanos;

		private volatile boolean delivered;

		private Slot(AdmissionTicket ticket, long admittedNanos) {
			this.ticket = ticket;
			this.admittedNanos = admittedNanos;
		}

		private AdmissionPermit markDelivered() {
			this.delivered = true;
			return this;
		}

		@Override
		public void release(int generatedTokens) {
			if (this.released.compareAndSet(false, true)) {
				TargetAdmission.this.release(this.ticket, this.admittedNanos);
			}
		}

	}

}
