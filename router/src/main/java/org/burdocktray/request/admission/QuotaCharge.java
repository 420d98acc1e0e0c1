package org.burdocktray.request.admission;

import java.util.concurrent.atomic.AtomicBoolean;

import org.burdocktray.process.limits.OrganisationQuotas;

/**
 * The charge of one request to its organisation's quota. Invariant: the charge is either
 * refunded in full or settled by the tokens that were used, and only once. Thread safety:
 * safe from any thread.
 */
final class QuotaCharge {

	private final AtomicBoolean attached = new AtomicBoolean();

	private final OrganisationQuotas quotas;

	private final String organisation;

	private final int expectedTokens;

	QuotaCharge(OrganisationQuotas quotas, String organisation, int expectedTokens) {
		this.quotas = quotas;
		this.organisation = organisation;
		this.expectedTokens = expectedTokens;
	}

	AdmissionPermit attachTo(AdmissionPermit permit) {
		this.attached.set(true);
		AtomicBoolean released = new AtomicBoolean();
		return (generatedTokens) -> {
			if (released.compareAndSet(false, true)) {
				this.quotas.settle(this.organisation, this.expectedTokens, generatedTokens);
				permit.release(generatedTokens);
			}
		};
	}

	void refund() {
		if (this.attached.compareAndSet(false, true)) {
			this.quotas.refund(this.organisation, this.expectedTokens);
		}
	}

}
