package org.burdocktray.request.admission;

import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vavr.control.Either;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.limits.AdmissionParameters;
import org.burdocktray.process.limits.FairShareAdmission;
import org.burdocktray.process.limits.FleetSeat;
import org.burdocktray.process.limits.OrganisationQuotas;
import org.burdocktray.process.limits.PlaceShare;
import org.burdocktray.process.limits.PlaceShareParameters;
import org.burdocktray.process.limits.ShareMessage;
import org.burdocktray.process.limits.TargetCapacity;

/**
 * Admits by quota first, then by fair share of this VM's places before the deadline.
 *
 * Invariant: what a refused or abandoned request took from its quota is given back.
 * Thread safety: safe from any thread; one lock for each organisation's quota and one for
 * each target, none of them held while a caller is answered.
 */
public final class FairShareAdmissionControl implements AdmissionControl {

	private static final long TICK_MILLIS = 20;

	private final AdmissionParameters parameters;

	private final Function<String, TargetCapacity> capacities;

	private final FleetSeat seat;

	private final SlotExchange exchange;

	private final LongSupplier nanoClock;

	private final OrganisationQuotas quotas = new OrganisationQuotas();

	private final ConcurrentMap<String, TargetAdmission> targets = new ConcurrentHashMap<>();

	/**
	 * Creates a control.
	 * @param parameters bounds on the wait
	 * @param capacities the capacity of the whole fleet by target, as the bundle in force
	 * has it; must not block
	 * @param seat this VM's own part
	 * @param exchange reaches the VMs that may lend
	 * @param nanoClock the clock of the deadlines, in nanoseconds
	 */
	public FairShareAdmissionControl(AdmissionParameters parameters, Function<String, TargetCapacity> capacities,
			FleetSeat seat, SlotExchange exchange, LongSupplier nanoClock) {
		this.parameters = parameters;
		this.capacities = capacities;
		this.seat = seat;
		this.exchange = exchange;
		this.nanoClock = nanoClock;
	}

	/**
	 * Starts to look for waiting requests that are too late, for changes of the capacity
	 * and for loans that ended.
	 * @param scheduler runs the checks
	 * @return stops them
	 */
	public Disposable start(Scheduler scheduler) {
		return scheduler.schedulePeriodicallyDirect(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Takes in another VM's message about places; answers go through the exchange.
	 * @param target the name of the model or service the places are for
	 * @param peer the name of the VM that sent it
	 * @param message the message
	 */
	public void receive(String target, String peer, ShareMessage message) {
		this.targets.computeIfAbsent(target, (name) -> create(name, 1)).receive(peer, message);
	}

	@Override
	public Single<Either<Refusal, AdmissionPermit>> admit(AdmissionRequest request) {
		return Single.defer(() -> decide(request));
	}

	private Single<Either<Refusal, AdmissionPermit>> decide(AdmissionRequest request) {
		OptionalLong waitMillis = this.quotas.take(request.organisation().name(),
				this.seat.quota(request.organisation()), request.expectedTokens(), this.nanoClock.getAsLong());
		if (waitMillis.isPresent()) {
			return Single.just(Either.left(Refusal.notRunRetryAfter(RefusalReason.QUOTA_EXCEEDED,
					"Your organisation is over its quota", waitMillis.getAsLong())));
		}
		QuotaCharge charge = new QuotaCharge(this.quotas, request.organisation().name(), request.expectedTokens());
		return target(request).admit(request)
			.map((decision) -> decision.map(charge::attachTo).peekLeft((refusal) -> charge.refund()))
			.doOnDispose(charge::refund);
	}

	private TargetAdmission target(AdmissionRequest request) {
		return this.targets.computeIfAbsent(request.target(), (target) -> create(target, request.expectedTokens()));
	}

	private TargetAdmission create(String target, int expectedTokens) {
		TargetCapacity capacity = this.capacities.apply(target);
		long nowNanos = this.nanoClock.getAsLong();
		int places = this.seat.places(capacity);
		PlaceShare share = new PlaceShare(PlaceShareParameters.defaults(), places, this.seat.firstLoanNumber(),
				this.seat.takesOver(), nowNanos);
		FairShareAdmission admission = new FairShareAdmission(this.parameters, share.places(nowNanos),
				capacity.holdingMillis(expectedTokens));
		return new TargetAdmission(target, admission, share, this.exchange, this.nanoClock);
	}

	private void tick() {
		this.targets.forEach((target, admission) -> admission.tick(this.seat.places(this.capacities.apply(target))));
	}

}
