package org.burdocktray.request.admission;

import java.util.concurrent.atomic.AtomicBoolean;

import org.burdocktray.process.limits.OrganisationQuotas;

/**
 * What one request took from its organisation's quota. Invariant: it is either given back
 * whole or settled by what was used, and that once. Thread safety: safe from any thread.
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

	AdmissionPermit attachTo(AdmissionPermit place) {
		this.attached.set(true);
		AtomicBoolean released = new AtomicBoolean();
		return (generatedTokens) -> {
			if (released.compareAndSet(false, true)) {
				this.quotas.settle(this.organisation, this.expectedTokens, generatedTokens);
				place.release(generatedTokens);
			}
		};
	}

	void refund() {
		if (this.attached.compareAndSet(false, true)) {
			this.quotas.giveBack(this.organisation, this.expectedTokens);
		}
	}

}
