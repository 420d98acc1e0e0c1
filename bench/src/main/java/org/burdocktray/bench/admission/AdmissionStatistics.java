package org.burdocktray.bench.admission;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Counts of one simulated case. Thread safety: confined to one thread.
 */
final class AdmissionStatistics {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double P95 = 95;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Histogram waitNanos = new Histogram(SIGNIFICANT_DIGITS);

	private final Map<String, OrganisationTokens> tokens = new TreeMap<>();

	private long goodTokens;

	private long asked;

	private long refused;

	private long longestRefusalNanos;

	private long messages;

	void asked(String organisation, int askedTokens) {
		this.asked++;
		organisation(organisation).offered += askedTokens;
	}

	void refused(long waitedNanos) {
		this.refused++;
		this.longestRefusalNanos = Math.max(this.longestRefusalNanos, waitedNanos);
	}

	void message() {
		this.messages++;
	}

	void begun(long waitedNanos) {
		this.waitNanos.recordValue(waitedNanos);
	}

	void completedInTime(int completedTokens) {
		this.goodTokens += completedTokens;
	}

	void servedInTime(String organisation, int servedTokens) {
		organisation(organisation).served += servedTokens;
	}

	AdmissionResult over(Scenario scenario) {
		Map<String, Double> shares = new TreeMap<>();
		this.tokens.forEach((name, counted) -> shares.put(name, counted.served / (double) counted.offered));
		double bound = scenario.capacityTokensPerSecond() * scenario.measuredSeconds();
		return new AdmissionResult(this.goodTokens / bound, this.waitNanos.getValueAtPercentile(P95) / NANOS_PER_MILLI,
				this.refused / (double) this.asked, this.longestRefusalNanos / NANOS_PER_MILLI,
				this.messages / (double) (scenario.warmUpSeconds() + scenario.measuredSeconds()) / scenario.vms(),
				shares);
	}

	static long nanos(double seconds) {
		return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
	}

	private OrganisationTokens organisation(String name) {
		return this.tokens.computeIfAbsent(name, (key) -> new OrganisationTokens());
	}

	/** The tokens one organisation asked for and got. */
	private static final class OrganisationTokens {

		private long offered;

		private long served;

	}

}
