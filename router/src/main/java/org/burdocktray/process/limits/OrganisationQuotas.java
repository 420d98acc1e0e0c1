package org.burdocktray.process.limits;

import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The quotas of all organisations on this VM. Thread safety: safe from any thread; each
 * organisation has its own lock.
 */
public final class OrganisationQuotas {

	private final ConcurrentMap<String, OrganisationQuota> quotas = new ConcurrentHashMap<>();

	/**
	 * Takes one request and its expected tokens from an organisation's quota.
	 * @param organisation the name of the organisation
	 * @param rates this VM's part of the quota now
	 * @param expectedTokens the tokens expected
	 * @param nowNanos the time
	 * @return empty when taken, else after how many milliseconds it could be
	 */
	public OptionalLong tryCharge(String organisation, QuotaRates rates, int expectedTokens, long nowNanos) {
		OrganisationQuota quota = this.quotas.computeIfAbsent(organisation,
				(name) -> new OrganisationQuota(rates, nowNanos));
		synchronized (quota) {
			return quota.tryCharge(rates, expectedTokens, nowNanos);
		}
	}

	/**
	 * Corrects what was taken by what was used.
	 * @param organisation the name of the organisation
	 * @param expectedTokens the tokens that were taken
	 * @param generatedTokens the tokens that were used
	 */
	public void settle(String organisation, int expectedTokens, int generatedTokens) {
		OrganisationQuota quota = this.quotas.get(organisation);
		if (quota == null) {
			return;
		}
		synchronized (quota) {
			quota.settle(expectedTokens, generatedTokens);
		}
	}

	/**
	 * Gives back all that a request took which was then refused for another reason.
	 * @param organisation the name of the organisation
	 * @param expectedTokens the tokens that were taken
	 */
	public void refund(String organisation, int expectedTokens) {
		OrganisationQuota quota = this.quotas.get(organisation);
		if (quota == null) {
			return;
		}
		synchronized (quota) {
			quota.settle(expectedTokens, 0);
			quota.refundRequest();
		}
	}

	/**
	 * Forgets organisations that the bundle no longer has.
	 * @param organisations the names of those it has
	 */
	public void retain(Set<String> organisations) {
		this.quotas.keySet().retainAll(organisations);
	}

}
