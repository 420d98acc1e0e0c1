package org.burdocktray.process.burn;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.burdocktray.version.bundle.Objective;

/**
 * Two windows, and the burn rate above which both together raise an alert. The window
 * lengths are shares of the objective's window, so that an alert stands for the same
 * share of the error budget for any objective window. Thread safety: immutable.
 *
 * @param severity the urgency of the alert
 * @param longMillis the length of the long window, which shows that the burn is
 * significant
 * @param shortMillis the length of the short window, which shows that the burn continues
 * @param burnRateBound the burn rate that both windows must exceed
 */
public record BurnWindowPair(Severity severity, long longMillis, long shortMillis, double burnRateBound) {

	/**
	 * The objective window for which {@link #REFERENCE_PAIRS} are defined, with long
	 * windows of 1 h, 6 h and 3 d.
	 */
	private static final long REFERENCE_WINDOW_HOURS = 720;

	private static final List<BurnWindowPair> REFERENCE_PAIRS = List.of(
			new BurnWindowPair(Severity.PAGE, TimeUnit.HOURS.toMillis(1), TimeUnit.MINUTES.toMillis(5), 14.4),
			new BurnWindowPair(Severity.PAGE, TimeUnit.HOURS.toMillis(6), TimeUnit.MINUTES.toMillis(30), 6),
			new BurnWindowPair(Severity.TICKET, TimeUnit.DAYS.toMillis(3), TimeUnit.HOURS.toMillis(6), 1));

	/**
	 * Returns the window pairs of an objective.
	 * @param objective the objective
	 * @return the pairs, in ascending order of window length
	 */
	public static List<BurnWindowPair> forObjective(Objective objective) {
		return REFERENCE_PAIRS.stream().map((pair) -> pair.scaledTo(objective.windowHours())).toList();
	}

	private BurnWindowPair scaledTo(long windowHours) {
		return new BurnWindowPair(this.severity, this.longMillis * windowHours / REFERENCE_WINDOW_HOURS,
				this.shortMillis * windowHours / REFERENCE_WINDOW_HOURS, this.burnRateBound);
	}

	/** The urgency of an alert. */
	public enum Severity {

		/** Requires immediate attention. */
		PAGE,

		/** Requires attention within days. */
		TICKET

	}

}
