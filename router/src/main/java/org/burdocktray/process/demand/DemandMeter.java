package org.burdocktray.process.demand;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.limits.DecayingRate;

/**
 * Measures the demand that arrives at this VM. Invariant: the number of classes and
 * organisations is bounded; those beyond it are not measured. Thread safety: none,
 * confined to one event loop.
 */
public final class DemandMeter {

	/** Long enough for a steady rate at a VM with a few requests a second. */
	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Outcomes tell of an overload that may last a few seconds only. */
	public static final long OUTCOME_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	private static final int MAX_CLASSES = 64;

	private static final int MAX_ORGANISATIONS = 1_024;

	/** Rates below this are taken for none. */
	private static final double MIN_TOKENS_PER_SECOND = 0.1;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Map<DemandClass, ClassRates> classes = new HashMap<>();

	private final Map<OrganisationShare, DecayingRate> organisations = new HashMap<>();

	/**
	 * Records a request that has arrived. In the demand of its organisation, a request
	 * without tokens counts as one token.
	 * @param demandClass its service and priority
	 * @param organisation its organisation, empty if it has none
	 * @param promptTokens the length of its prompt, 0 for plain services
	 * @param outputTokens the expected length of its response, 0 for plain services
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordArrival(DemandClass demandClass, String organisation, int promptTokens, int outputTokens,
			long nowNanos) {
		ClassRates rates = rates(demandClass, nowNanos);
		if (rates != null) {
			rates.requests.add(1, nowNanos);
			rates.promptTokens.add(promptTokens, nowNanos);
			rates.outputTokens.add(outputTokens, nowNanos);
		}
		OrganisationShare share = new OrganisationShare(demandClass.service(), organisation);
		if (this.organisations.containsKey(share) || this.organisations.size() < MAX_ORGANISATIONS) {
			this.organisations.computeIfAbsent(share, (key) -> new DecayingRate(WINDOW_NANOS, nowNanos))
				.add(Math.max(1, (double) promptTokens + outputTokens), nowNanos);
		}
	}

	/**
	 * Records that a request was rejected without a run.
	 * @param demandClass its service and priority
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordRejection(DemandClass demandClass, long nowNanos) {
		ClassRates rates = rates(demandClass, nowNanos);
		if (rates != null) {
			rates.rejected.add(1, nowNanos);
		}
	}

	/**
	 * Records whether an admitted request was served in time.
	 * @param demandClass its service and priority
	 * @param isOnTime whether its first event came within the target
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordOutcome(DemandClass demandClass, boolean isOnTime, long nowNanos) {
		ClassRates rates = rates(demandClass, nowNanos);
		if (rates != null) {
			(isOnTime ? rates.onTime : rates.late).add(1, nowNanos);
		}
	}

	/**
	 * Records the first event of an admitted request, in time or not.
	 * @param demandClass its service and priority
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordBegin(DemandClass demandClass, long nowNanos) {
		ClassRates rates = rates(demandClass, nowNanos);
		if (rates != null) {
			rates.begun.add(1, nowNanos);
		}
	}

	/**
	 * Returns the present demand.
	 * @param nowNanos the current time of the monotonic clock
	 * @return the rates of the last seconds
	 */
	public DemandReport report(long nowNanos) {
		Map<DemandClass, ClassLoad> loads = new HashMap<>();
		this.classes.forEach((demandClass, rates) -> loads.put(demandClass, rates.load(nowNanos)));
		this.organisations.values().removeIf((rate) -> perSecond(rate, nowNanos) < MIN_TOKENS_PER_SECOND);
		Map<OrganisationShare, Double> tokens = new HashMap<>();
		this.organisations.forEach((share, rate) -> tokens.put(share, perSecond(rate, nowNanos)));
		return new DemandReport(loads, tokens);
	}

	private ClassRates rates(DemandClass demandClass, long nowNanos) {
		ClassRates rates = this.classes.get(demandClass);
		if (rates == null && this.classes.size() < MAX_CLASSES) {
			rates = new ClassRates(nowNanos);
			this.classes.put(demandClass, rates);
		}
		return rates;
	}

	private static double perSecond(DecayingRate rate, long nowNanos) {
		return NANOS_PER_SECOND * rate.perNano(nowNanos);
	}

	private static final class ClassRates {

		private final DecayingRate requests;

		private final DecayingRate promptTokens;

		private final DecayingRate outputTokens;

		private final DecayingRate rejected;

		private final DecayingRate onTime;

		private final DecayingRate late;

		private final DecayingRate begun;

		private ClassRates(long nowNanos) {
			this.requests = new DecayingRate(WINDOW_NANOS, nowNanos);
			this.promptTokens = new DecayingRate(WINDOW_NANOS, nowNanos);
			this.outputTokens = new DecayingRate(WINDOW_NANOS, nowNanos);
			this.rejected = new DecayingRate(WINDOW_NANOS, nowNanos);
			this.onTime = new DecayingRate(OUTCOME_WINDOW_NANOS, nowNanos);
			this.late = new DecayingRate(OUTCOME_WINDOW_NANOS, nowNanos);
			this.begun = new DecayingRate(OUTCOME_WINDOW_NANOS, nowNanos);
		}

		private ClassLoad load(long nowNanos) {
			return new ClassLoad(perSecond(this.requests, nowNanos), perSecond(this.promptTokens, nowNanos),
					perSecond(this.outputTokens, nowNanos), perSecond(this.rejected, nowNanos),
					perSecond(this.onTime, nowNanos), perSecond(this.late, nowNanos), perSecond(this.begun, nowNanos));
		}

	}

}
