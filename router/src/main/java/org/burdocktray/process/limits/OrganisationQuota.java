package org.burdocktray.process.limits;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * This VM's share of one organisation's quota of requests and of generated tokens.
 * Invariant: a refused request is not charged to either bucket. Thread safety: confined
 * to one thread at a time.
 */
final class OrganisationQuota {

	private static final double BURST_SECONDS = 1;

	private static final long MAX_RETRY_AFTER_MILLIS = TimeUnit.HOURS.toMillis(1);

	private final TokenBucket requests;

	private final TokenBucket tokens;

	private QuotaRates rates;

	OrganisationQuota(QuotaRates rates, long nowNanos) {
		this.rates = rates;
		this.requests = new TokenBucket(rates.requestsPerSecond(), burst(rates.requestsPerSecond()), nowNanos);
		this.tokens = new TokenBucket(rates.tokensPerSecond(), burst(rates.tokensPerSecond()), nowNanos);
	}

	/**
	 * Charges one request and its expected tokens if both buckets allow it.
	 * @param current the current rates
	 * @param expectedTokens the number of tokens that the request is expected to generate
	 * @param nowNanos the time
	 * @return empty if charged, otherwise the time in milliseconds after which the charge
	 * can succeed
	 */
	OptionalLong tryCharge(QuotaRates current, int expectedTokens, long nowNanos) {
		resize(current, nowNanos);
		double waitNanos = Math.max(this.requests.waitNanos(1, nowNanos),
				this.tokens.waitNanos(expectedTokens, nowNanos));
		if (waitNanos > 0) {
			double waitMillis = Math.ceil(waitNanos / TimeUnit.MILLISECONDS.toNanos(1));
			return OptionalLong.of((long) Math.min(MAX_RETRY_AFTER_MILLIS, waitMillis));
		}
		this.requests.consume(1);
		this.tokens.consume(expectedTokens);
		return OptionalLong.empty();
	}

	/**
	 * Replaces the expected tokens of a request by those it generated.
	 * @param expectedTokens the number of tokens charged
	 * @param generatedTokens the number of tokens generated
	 */
	void settle(int expectedTokens, int generatedTokens) {
		this.tokens.refund(expectedTokens - (double) generatedTokens);
	}

	/** Refunds a request that was not admitted. */
	void refundRequest() {
		this.requests.refund(1);
	}

	private void resize(QuotaRates current, long nowNanos) {
		if (current.equals(this.rates)) {
			return;
		}
		this.rates = current;
		this.requests.resize(current.requestsPerSecond(), burst(current.requestsPerSecond()), nowNanos);
		this.tokens.resize(current.tokensPerSecond(), burst(current.tokensPerSecond()), nowNanos);
	}

	// A rate below one request per second must still allow a single request.
	private static double burst(double ratePerSecond) {
		return Math.max(1, ratePerSecond * BURST_SECONDS);
	}

}
