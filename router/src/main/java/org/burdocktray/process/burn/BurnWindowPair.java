package org.burdocktray.process.burn;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.burdocktray.version.bundle.Objective;

/**
 * A pair of windows and the burn rate above which both together raise an alert. The
 * lengths are shares of the objective's window, so that an alert stands for the same
 * share of the error budget whatever the objective's window is. Thread safety: immutable.
 *
 * @param severity what the alert asks for
 * @param longMillis the length of the long window, which shows that the burn matters
 * @param shortMillis the length of the short window, which shows that it still goes on
 * @param burnRateBound the burn rate that both windows must exceed
 */
public record BurnWindowPair(Severity severity, long longMillis, long shortMillis, double burnRateBound) {

	/** The shares of a window of 720 h that are 1 h, 6 h and 3 d. */
	private static final long REFERENCE_WINDOW_HOURS = 720;

	private static final List<BurnWindowPair> REFERENCE_PAIRS = List.of(
			new BurnWindowPair(Severity.PAGE, TimeUnit.HOURS.toMillis(1), TimeUnit.MINUTES.toMillis(5), 14.4),
			new BurnWindowPair(Severity.PAGE, TimeUnit.HOURS.toMillis(6), TimeUnit.MINUTES.toMillis(30), 6),
			new BurnWindowPair(Severity.TICKET, TimeUnit.DAYS.toMillis(3), TimeUnit.HOURS.toMillis(6), 1));

	/**
	 * Returns the pairs for an objective.
	 * @param objective the objective
	 * @return the pairs, the shortest first
	 */
	public static List<BurnWindowPair> forObjective(Objective objective) {
		return REFERENCE_PAIRS.stream().map((pair) -> pair.scaledTo(objective.windowHours())).toList();
	}

	private BurnWindowPair scaledTo(long windowHours) {
		return new BurnWindowPair(this.severity, this.longMillis * windowHours / REFERENCE_WINDOW_HOURS,
				this.shortMillis * windowHours / REFERENCE_WINDOW_HOURS, this.burnRateBound);
	}

	/** What an alert asks for. */
	public enum Severity {

		/** Someone should look at once. */
		PAGE,

		/** Someone should look within days. */
		TICKET

	}

}
