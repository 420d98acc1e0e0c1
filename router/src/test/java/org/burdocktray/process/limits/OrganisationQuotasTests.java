package org.burdocktray.process.limits;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class OrganisationQuotasTests {

	private final OrganisationQuotas quotas = new OrganisationQuotas();

	@ParameterizedTest
	@CsvSource({ "2, 1000, 2, 10, 500", "0.5, 1000, 1, 10, 2000", "100, 50, 1, 50, 1000", "100, 50, 1, 400, 8000",
			"0, 50, 1, 10, 3600000" })
	void returnsWaitUntilNextRequestCanBeCharged(double requestsPerSecond, double tokensPerSecond, int requests,
			int tokens, long waitMillis) {
		QuotaRates rates = new QuotaRates(requestsPerSecond, tokensPerSecond);
		for (int request = 0; request < requests; request++) {
			assertThat(this.quotas.tryCharge("a", rates, tokens, 0)).isEmpty();
		}
		assertThat(this.quotas.tryCharge("a", rates, tokens, 0)).hasValue(waitMillis);
		if (requestsPerSecond > 0) {
			assertThat(this.quotas.tryCharge("a", rates, tokens, TimeUnit.MILLISECONDS.toNanos(waitMillis - 1)))
				.isPresent();
			assertThat(this.quotas.tryCharge("a", rates, tokens, TimeUnit.MILLISECONDS.toNanos(waitMillis))).isEmpty();
		}
	}

	@Test
	void chargesGeneratedInsteadOfExpectedTokens() {
		QuotaRates rates = new QuotaRates(100, 50);
		this.quotas.tryCharge("a", rates, 400, 0);
		this.quotas.settle("a", 400, 10);
		assertThat(this.quotas.tryCharge("a", rates, 40, 0)).isEmpty();
	}

	@Test
	void refundsChargeOfRefusedRequest() {
		QuotaRates rates = new QuotaRates(1, 50);
		this.quotas.tryCharge("a", rates, 50, 0);
		this.quotas.refund("a", 50);
		assertThat(this.quotas.tryCharge("a", rates, 50, 0)).isEmpty();
	}

	@Test
	void organisationsHaveSeparateQuotas() {
		QuotaRates rates = new QuotaRates(1, 50);
		this.quotas.tryCharge("a", rates, 1, 0);
		assertThat(this.quotas.tryCharge("b", rates, 1, 0)).isEqualTo(OptionalLong.empty());
	}

	@Test
	void lowerRateTakesEffectImmediately() {
		this.quotas.tryCharge("a", new QuotaRates(10, 100), 1, 0);
		this.quotas.tryCharge("a", new QuotaRates(1, 100), 1, 0);
		assertThat(this.quotas.tryCharge("a", new QuotaRates(1, 100), 1, 0)).hasValue(1000);
	}

}
