package org.burdocktray.request.route;

import java.util.concurrent.TimeUnit;

import org.burdocktray.process.load.UpstreamStatus;

/**
 * Compares two candidates for a stage by their load. The load of an engine is its
 * requests in progress over the flow it is meant to carry. Reports count in full while
 * they are fresh; then their weight falls to nothing, for both candidates alike, so that
 * an engine with an older report does not look less loaded than one with a newer report.
 * Thread safety: stateless.
 */
final class StageLoad {

	/** How long a report counts in full. */
	static final long FRESH_REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** How old a report is when it no longer counts. */
	static final long STALE_REPORT_NANOS = TimeUnit.SECONDS.toNanos(15);

	/** How long a new upstream takes to get its full share. */
	static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final double SLOW_START_FLOOR = 0.1;

	private static final double FLOW_FLOOR_TOKENS_PER_SECOND = 1e-3;

	private StageLoad() {
	}

	/**
	 * Whether the first candidate is the less loaded one.
	 * @param first the first candidate
	 * @param second the second candidate
	 * @param slack how much more loaded the first one may be, as a share
	 * @return true when the first one should be taken
	 */
	static boolean isFirstPreferred(StageCandidate first, StageCandidate second, double slack) {
		double freshness = Math.min(freshness(first.status()), freshness(second.status()));
		return load(first, freshness) <= load(second, freshness) * (1 + slack);
	}

	private static double load(StageCandidate candidate, double freshness) {
		UpstreamStatus status = candidate.status();
		double own = status.ownInFlight();
		double inFlight = (freshness > 0) ? own + freshness * (status.reportedInFlight() - own) : own;
		double flow = Math.max(FLOW_FLOOR_TOKENS_PER_SECOND, candidate.flowTokensPerSecond());
		return (inFlight + 1) / (flow * rampUp(status.inServiceSinceNanos()));
	}

	private static double freshness(UpstreamStatus status) {
		long ageNanos = status.reportAgeNanos();
		if (ageNanos <= FRESH_REPORT_NANOS) {
			return 1;
		}
		if (ageNanos >= STALE_REPORT_NANOS) {
			return 0;
		}
		return (double) (STALE_REPORT_NANOS - ageNanos) / (STALE_REPORT_NANOS - FRESH_REPORT_NANOS);
	}

	private static double rampUp(long inServiceNanos) {
		if (inServiceNanos >= SLOW_START_NANOS) {
			return 1;
		}
		return Math.max(SLOW_START_FLOOR, (double) inServiceNanos / SLOW_START_NANOS);
	}

}
