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
import org.burdocktray.process.limits.PlaceShare;
import org.burdocktray.process.limits.ShareMessage;

/**
 * The admission to one target. Invariant: a place whose caller went away before it heard
 * of it is given back. Thread safety: safe from any thread; the decision is guarded by
 * this object's lock, which is not held while callers are answered or messages sent.
 */
final class TargetAdmission {

	private final LongSupplier nanoClock;

	private final String target;

	private final FairShareAdmission admission;

	private final PlaceShare share;

	private final SlotExchange exchange;

	private final Map<AdmissionTicket, SingleEmitter<Either<Refusal, Place>>> waiting = new HashMap<>();

	TargetAdmission(String target, FairShareAdmission admission, PlaceShare share, SlotExchange exchange,
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
		return Single.<Either<Refusal, Place>>create((emitter) -> ask(ticket, emitter))
			.map((decision) -> decision.map(Place::delivered));
	}

	void tick(int ownPlaces) {
		List<String> peers = this.exchange.peers();
		List<Runnable> effects = new ArrayList<>();
		synchronized (this) {
			long nowNanos = this.nanoClock.getAsLong();
			this.admission.borrowing(!peers.isEmpty());
			this.share.resizeOwn(ownPlaces);
			send(this.share.tick(this.admission.inProgress(), nowNanos), effects);
			collect(this.admission.resize(this.share.places(nowNanos), nowNanos), nowNanos, effects);
			collect(this.admission.tick(nowNanos), nowNanos, effects);
			borrow(peers, nowNanos, effects);
		}
		effects.forEach(Runnable::run);
	}

	void receive(String peer, ShareMessage message) {
		List<Runnable> effects = new ArrayList<>();
		synchronized (this) {
			long nowNanos = this.nanoClock.getAsLong();
			if (message instanceof ShareMessage.Ask ask) {
				this.share.onAsk(peer, ask, this.admission.inProgress(), nowNanos)
					.ifPresent((grant) -> send(List.of(new ShareMessage.Outgoing(peer, grant)), effects));
			}
			else if (message instanceof ShareMessage.Grant grant) {
				this.share.onGrant(peer, grant, nowNanos);
			}
			else if (message instanceof ShareMessage.Return returned) {
				this.share.onReturn(peer, returned);
			}
			collect(this.admission.resize(this.share.places(nowNanos), nowNanos), nowNanos, effects);
		}
		effects.forEach(Runnable::run);
	}

	private void ask(AdmissionTicket ticket, SingleEmitter<Either<Refusal, Place>> emitter) {
		List<Runnable> effects = new ArrayList<>(1);
		emitter.setCancellable(() -> withdraw(ticket));
		synchronized (this) {
			long nowNanos = this.nanoClock.getAsLong();
			this.waiting.put(ticket, emitter);
			List<AdmissionAction> actions = this.admission.request(ticket, nowNanos);
			collect(actions, nowNanos, effects);
			if (actions.isEmpty()) {
				borrow(this.exchange.peers(), nowNanos, effects);
			}
		}
		effects.forEach(Runnable::run);
	}

	private void borrow(List<String> peers, long nowNanos, List<Runnable> effects) {
		int wantedPlaces = this.admission.wantedPlaces(nowNanos);
		send(this.share.ask(wantedPlaces, peers, ThreadLocalRandom.current(), nowNanos), effects);
	}

	private void send(List<ShareMessage.Outgoing> messages, List<Runnable> effects) {
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
			SingleEmitter<Either<Refusal, Place>> emitter = this.waiting.remove(action.ticket());
			if (action instanceof AdmissionAction.Refuse refuse) {
				effects.add(() -> emitter.onSuccess(Either.left(refusal(refuse))));
				continue;
			}
			Place place = new Place(action.ticket(), nowNanos);
			effects.add(() -> deliver(place, emitter));
		}
	}

	private static void deliver(Place place, SingleEmitter<Either<Refusal, Place>> emitter) {
		emitter.onSuccess(Either.right(place));
		// A caller that went away meanwhile never hears of its place.
		if (!place.delivered) {
			place.release(0);
		}
	}

	private static Refusal refusal(AdmissionAction.Refuse refuse) {
		return Refusal.notRunRetryAfter(RefusalReason.OVERLOADED,
				"There is no capacity for this request before its deadline", refuse.retryAfterMillis());
	}

	/** A place in progress. Thread safety: safe from any thread. */
	private final class Place implements AdmissionPermit {

		private final AtomicBoolean released = new AtomicBoolean();

		private final AdmissionTicket ticket;

		private final long admittedNanos;

		private volatile boolean delivered;

		private Place(AdmissionTicket ticket, long admittedNanos) {
			this.ticket = ticket;
			this.admittedNanos = admittedNanos;
		}

		private AdmissionPermit delivered() {
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
