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
import org.burdocktray.process.limits.OrganisationQuotas;
import org.burdocktray.process.limits.SlotLoanMessage;
import org.burdocktray.process.limits.SlotShare;
import org.burdocktray.process.limits.SlotShareParameters;
import org.burdocktray.process.limits.TargetCapacity;
import org.burdocktray.process.limits.VmIndex;

/**
 * Checks the organisation's quota first, then admits by fair share of this VM's admission
 * slots, with a wait up to the deadline.
 *
 * Invariant: the quota charge of a refused or abandoned request is refunded. Thread
 * safety: safe from any thread; there is one lock for each organisation's quota and one
 * for each target, and none is held while a decision is delivered.
 */
public final class FairShareAdmissionControl implements AdmissionControl {

	private static final long CHECK_INTERVAL_MILLIS = 20;

	private final AdmissionParameters parameters;

	private final Function<String, TargetCapacity> capacities;

	private final VmIndex vmIndex;

	private final SlotExchange exchange;

	private final LongSupplier nanoClock;

	private final OrganisationQuotas quotas = new OrganisationQuotas();

	private final ConcurrentMap<String, TargetAdmission> targets = new ConcurrentHashMap<>();

	/**
	 * Creates a control.
	 * @param parameters the limits on the wait
	 * @param capacities returns the capacity of the whole fleet for a target, from the
	 * bundle in force; must not block
	 * @param vmIndex the index of this VM in the fleet, which determines its share of
	 * slots and quotas
	 * @param exchange sends messages to the VMs that may lend slots
	 * @param nanoClock the clock of the deadlines, in nanoseconds
	 */
	public FairShareAdmissionControl(AdmissionParameters parameters, Function<String, TargetCapacity> capacities,
			VmIndex vmIndex, SlotExchange exchange, LongSupplier nanoClock) {
		this.parameters = parameters;
		this.capacities = capacities;
		this.vmIndex = vmIndex;
		this.exchange = exchange;
		this.nanoClock = nanoClock;
	}

	/**
	 * Starts periodic checks for waiting requests that can no longer start in time, for
	 * changes of the capacity and for loans that ended.
	 * @param scheduler runs the checks
	 * @return stops the checks when disposed
	 */
	public Disposable start(Scheduler scheduler) {
		return scheduler.schedulePeriodicallyDirect(this::tick, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Handles another VM's message about the lending of slots; replies go through the
	 * exchange.
	 * @param target the name of the model or service whose slots are lent
	 * @param peer the name of the sending VM
	 * @param message the message
	 */
	public void receive(String target, String peer, SlotLoanMessage message) {
		this.targets.computeIfAbsent(target, (name) -> create(name, 1)).receive(peer, message);
	}

	@Override
	public Single<Either<Refusal, AdmissionPermit>> admit(AdmissionRequest request) {
		return Single.defer(() -> decide(request));
	}

	private Single<Either<Refusal, AdmissionPermit>> decide(AdmissionRequest request) {
		OptionalLong waitMillis = this.quotas.tryCharge(request.organisation().name(),
				this.vmIndex.quota(request.organisation()), request.expectedTokens(), this.nanoClock.getAsLong());
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
		int ownSlots = this.vmIndex.ownSlots(capacity);
		SlotShare share = new SlotShare(SlotShareParameters.defaults(), ownSlots, this.vmIndex.firstLoanNumber(),
				this.vmIndex.hasPredecessor(), nowNanos);
		FairShareAdmission admission = new FairShareAdmission(this.parameters, share.usableSlots(nowNanos),
				capacity.holdingMillis(expectedTokens));
		return new TargetAdmission(target, admission, share, this.exchange, this.nanoClock);
	}

	private void tick() {
		this.targets
			.forEach((target, admission) -> admission.tick(this.vmIndex.ownSlots(this.capacities.apply(target))));
	}

}
