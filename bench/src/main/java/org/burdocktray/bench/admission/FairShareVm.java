package org.burdocktray.bench.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.burdocktray.process.limits.AdmissionAction;
import org.burdocktray.process.limits.AdmissionParameters;
import org.burdocktray.process.limits.AdmissionTicket;
import org.burdocktray.process.limits.FairShareAdmission;
import org.burdocktray.process.limits.SlotLoanMessage;
import org.burdocktray.process.limits.SlotShare;
import org.burdocktray.process.limits.SlotShareParameters;

/**
 * Runs the admission control of the router on one simulated VM. Thread safety: confined
 * to one thread at a time.
 */
final class FairShareVm implements VmAdmission {

	private final FairShareAdmission admission;

	private final SlotShare share;

	private final List<String> peers = new ArrayList<>();

	private final SplittableRandom random;

	FairShareVm(int vm, Scenario scenario, boolean loansEnabled) {
		int ownSlots = SlotShare.ownShare(scenario.fleetSlots(), vm, scenario.vms());
		this.admission = new FairShareAdmission(AdmissionParameters.defaults(), ownSlots,
				scenario.expectedHoldingMillis());
		this.share = new SlotShare(SlotShareParameters.defaults(), ownSlots, 1, false, 0);
		this.random = new SplittableRandom(scenario.seed() + vm);
		for (int peer = 0; loansEnabled && peer < scenario.vms(); peer++) {
			if (peer != vm) {
				this.peers.add(String.valueOf(peer));
			}
		}
		this.admission.setBorrowingEnabled(!this.peers.isEmpty());
	}

	@Override
	public List<AdmissionAction> request(AdmissionTicket ticket, long nowNanos) {
		return this.admission.request(ticket, nowNanos);
	}

	@Override
	public List<AdmissionAction> release(AdmissionTicket ticket, long heldNanos, long nowNanos) {
		return this.admission.release(ticket, heldNanos, nowNanos);
	}

	@Override
	public List<AdmissionAction> tick(long nowNanos) {
		List<AdmissionAction> actions = new ArrayList<>(
				this.admission.resize(this.share.usableSlots(nowNanos), nowNanos));
		actions.addAll(this.admission.tick(nowNanos));
		return actions;
	}

	@Override
	public List<SlotLoanMessage.Outgoing> returnSlots(long nowNanos) {
		return this.share.tick(this.admission.inProgress(), nowNanos);
	}

	@Override
	public List<SlotLoanMessage.Outgoing> requestSlots(long nowNanos) {
		return this.share.requestLoans(this.admission.slotsToBorrow(nowNanos), this.peers, this.random, nowNanos);
	}

	@Override
	public LoanMessageResult receive(String from, SlotLoanMessage message, long nowNanos) {
		Optional<SlotLoanMessage> reply = Optional.empty();
		if (message instanceof SlotLoanMessage.Request request) {
			reply = this.share.onLoanRequest(from, request, this.admission.inProgress(), nowNanos)
				.map((grant) -> grant);
		}
		else if (message instanceof SlotLoanMessage.Grant grant) {
			this.share.onGrant(from, grant, nowNanos);
		}
		else if (message instanceof SlotLoanMessage.Return loanReturn) {
			this.share.onReturn(from, loanReturn);
		}
		return new LoanMessageResult(this.admission.resize(this.share.usableSlots(nowNanos), nowNanos), reply);
	}

}
