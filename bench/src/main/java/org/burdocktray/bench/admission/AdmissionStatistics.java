package org.burdocktray.bench.admission;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Collects the statistics of one simulated scenario. Thread safety: confined to one
 * thread.
 */
final class AdmissionStatistics {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double P95 = 95;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Histogram waitHistogram = new Histogram(SIGNIFICANT_DIGITS);

	private final Map<String, OrganisationTokens> tokens = new TreeMap<>();

	private long completedInTimeTokens;

	private long requests;

	private long refusals;

	private long longestRefusalNanos;

	private long messages;

	void recordArrival(String organisation, int requestedTokens) {
		this.requests++;
		organisation(organisation).requested += requestedTokens;
	}

	void recordRefusal(long waitNanos) {
		this.refusals++;
		this.longestRefusalNanos = Math.max(this.longestRefusalNanos, waitNanos);
	}

	void recordMessage() {
		this.messages++;
	}

	void recordStart(long waitNanos) {
		this.waitHistogram.recordValue(waitNanos);
	}

	void recordCompletedInTime(int completedTokens) {
		this.completedInTimeTokens += completedTokens;
	}

	void recordStartedInTime(String organisation, int servedTokens) {
		organisation(organisation).served += servedTokens;
	}

	AdmissionResult toResult(Scenario scenario) {
		Map<String, Double> servedShares = new TreeMap<>();
		this.tokens.forEach((name, organisationTokens) -> servedShares.put(name,
				organisationTokens.served / (double) organisationTokens.requested));
		double capacityTokens = scenario.capacityTokensPerSecond() * scenario.measuredSeconds();
		return new AdmissionResult(this.completedInTimeTokens / capacityTokens,
				this.waitHistogram.getValueAtPercentile(P95) / NANOS_PER_MILLI, this.refusals / (double) this.requests,
				this.longestRefusalNanos / NANOS_PER_MILLI,
				this.messages / (double) (scenario.warmUpSeconds() + scenario.measuredSeconds()) / scenario.vms(),
				servedShares);
	}

	static long secondsToNanos(double seconds) {
		return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
	}

	private OrganisationTokens organisation(String name) {
		return this.tokens.computeIfAbsent(name, (key) -> new OrganisationTokens());
	}

	/** The tokens that one organisation requested and received. */
	private static final class OrganisationTokens {

		private long requested;

		private long served;

	}

}
