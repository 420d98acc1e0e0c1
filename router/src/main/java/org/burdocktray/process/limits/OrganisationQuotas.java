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
	 * Charges one request and its expected tokens to an organisation's quota if it allows
	 * them.
	 * @param organisation the name of the organisation
	 * @param rates this VM's current share of the quota
	 * @param expectedTokens the number of tokens that the request is expected to generate
	 * @param nowNanos the time
	 * @return empty if charged, otherwise the time in milliseconds after which the charge
	 * can succeed
	 */
	public OptionalLong tryCharge(String organisation, QuotaRates rates, int expectedTokens, long nowNanos) {
		OrganisationQuota quota = this.quotas.computeIfAbsent(organisation,
				(name) -> new OrganisationQuota(rates, nowNanos));
		synchronized (quota) {
			return quota.tryCharge(rates, expectedTokens, nowNanos);
		}
	}

	/**
	 * Replaces the expected tokens of a request by those it generated.
	 * @param organisation the name of the organisation
	 * @param expectedTokens the number of tokens charged
	 * @param generatedTokens the number of tokens generated
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
	 * Refunds the whole charge of a request that was then refused for another reason.
	 * @param organisation the name of the organisation
	 * @param expectedTokens the number of tokens charged
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
	 * Removes the quotas of organisations that are no longer in the bundle.
	 * @param organisations the names of the organisations in the bundle
	 */
	public void retain(Set<String> organisations) {
		this.quotas.keySet().retainAll(organisations);
	}

}
