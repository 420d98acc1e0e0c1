package org.burdocktray.request.route;

import java.util.concurrent.TimeUnit;

import org.burdocktray.process.load.UpstreamStatus;

/**
 * Compares two candidates for a stage by their load. The load of an engine is the number
 * of its requests in flight, divided by its planned flow. A fresh load report has full
 * weight; with its age the weight decreases to zero. The lower weight applies to both
 * candidates, so that an engine with an older report does not appear less loaded than one
 * with a newer report. Thread safety: stateless.
 */
final class StageLoad {

	/** The maximum age of a report with full weight. */
	static final long FRESH_REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** The age from which a report is ignored. */
	static final long STALE_REPORT_NANOS = TimeUnit.SECONDS.toNanos(15);

	/** The time until a new upstream gets its full share of requests. */
	static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final double MIN_SLOW_START_FACTOR = 0.1;

	private static final double MIN_FLOW_TOKENS_PER_SECOND = 1e-3;

	private StageLoad() {
	}

	/**
	 * Returns whether the first candidate is preferred.
	 * @param first the first candidate
	 * @param second the second candidate
	 * @param slack by which fraction the load of the first candidate may exceed that of
	 * the second
	 * @return true if the load of the first candidate, less the slack, does not exceed
	 * that of the second
	 */
	static boolean isFirstPreferred(StageCandidate first, StageCandidate second, double slack) {
		double reportWeight = Math.min(reportWeight(first.status()), reportWeight(second.status()));
		return load(first, reportWeight) <= load(second, reportWeight) * (1 + slack);
	}

	private static double load(StageCandidate candidate, double reportWeight) {
		UpstreamStatus status = candidate.status();
		double ownInFlight = status.ownInFlight();
		double inFlight = (reportWeight > 0) ? ownInFlight + reportWeight * (status.reportedInFlight() - ownInFlight)
				: ownInFlight;
		double flow = Math.max(MIN_FLOW_TOKENS_PER_SECOND, candidate.flowTokensPerSecond());
		return (inFlight + 1) / (flow * slowStartFactor(status.inServiceNanos()));
	}

	private static double reportWeight(UpstreamStatus status) {
		long ageNanos = status.reportAgeNanos();
		if (ageNanos <= FRESH_REPORT_NANOS) {
			return 1;
		}
		if (ageNanos >= STALE_REPORT_NANOS) {
			return 0;
		}
		return (double) (STALE_REPORT_NANOS - ageNanos) / (STALE_REPORT_NANOS - FRESH_REPORT_NANOS);
	}

	private static double slowStartFactor(long inServiceNanos) {
		if (inServiceNanos >= SLOW_START_NANOS) {
			return 1;
		}
		return Math.max(MIN_SLOW_START_FACTOR, (double) inServiceNanos / SLOW_START_NANOS);
	}

}
