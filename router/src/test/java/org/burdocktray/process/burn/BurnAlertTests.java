package org.burdocktray.process.burn;

import java.util.concurrent.TimeUnit;

import org.burdocktray.version.bundle.Objective;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.offset;

/**
 * Window lengths, burn rates, and the conditions under which an alert burns.
 */
class BurnAlertTests {

	@ParameterizedTest
	@CsvSource({ "720, 3600, 300, 21600, 1800, 259200, 21600", "168, 840, 70, 5040, 420, 60480, 5040",
			"8640, 43200, 3600, 259200, 21600, 3110400, 259200" })
	void scalesWindowPairsToObjectiveWindow(long windowHours, long long1, long short1, long long2, long short2,
			long long3, long short3) {
		assertThat(BurnWindowPair.forObjective(objective(0.999, windowHours))).containsExactly(
				windowPair(BurnWindowPair.Severity.PAGE, long1, short1, 14.4),
				windowPair(BurnWindowPair.Severity.PAGE, long2, short2, 6),
				windowPair(BurnWindowPair.Severity.TICKET, long3, short3, 1));
	}

	@ParameterizedTest
	@CsvSource({ "0.999, 10000, 144, 14.4", "0.95, 9500, 500, 1", "0.9, 40, 60, 6", "0.99999, 0, 5, 100000" })
	void dividesBadShareByErrorBudget(double target, long good, long bad, double burnRate) {
		BurnRate rate = BurnRate.of(objective(target, 720), 1, new EventCounts(good, bad), 1);
		double badShare = (double) bad / (good + bad);
		assertThat(rate.value().getAsDouble()).isCloseTo(badShare / (1 - target), offset(1e-6 * burnRate));
	}

	@ParameterizedTest(name = "long {0}/{1} {2}, short {3}/{4} {5}: {6}")
	@CsvSource({ "50, 50, 1,    50, 50, 1,    BURNING", "50, 50, 0.75, 50, 50, 0.75, BURNING",
			"50, 50, 1,    100, 0, 1,    QUIET", "100, 0, 1,    50, 50, 1,    QUIET",
			"40, 60, 1,    50, 50, 1,    BURNING", "0, 0, 1,      50, 50, 1,    QUIET",
			"0, 0, 1,      0, 0, 1,      QUIET", "50, 50, 0.74, 50, 50, 1,    UNDECIDED",
			"50, 50, 1,    50, 50, 0.74, UNDECIDED", "50, 50, 0,    100, 0, 1,    QUIET",
			"0, 0, 0,      0, 0, 0,      UNDECIDED", "100, 0, 0.74, 50, 50, 0.74, UNDECIDED" })
	void burnsOnlyWhenBothWindowsExceedBound(long longGood, long longBad, double longCoverage, long shortGood,
			long shortBad, double shortCoverage, BurnAlert.State expected) {
		Objective objective = objective(0.95, 720);
		BurnRate longRate = BurnRate.of(objective, 1, new EventCounts(longGood, longBad), longCoverage);
		BurnRate shortRate = BurnRate.of(objective, 1, new EventCounts(shortGood, shortBad), shortCoverage);
		assertThat(new BurnAlert(windowPair(BurnWindowPair.Severity.PAGE, 1, 1, 6), longRate, shortRate).state())
			.isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "0, 0, 1, 1", "100, 0, 1, 1", "195, 5, 1, 0.5", "95, 5, 1, 0", "90, 10, 1, -1", "90, 10, 0.5, " })
	void computesRemainingErrorBudget(long good, long bad, double coverage, Double remainingShare) {
		ErrorBudget budget = ErrorBudget.of(objective(0.95, 720), 1, new EventCounts(good, bad), coverage);
		assertThat(budget.remainingShare().isPresent()).isEqualTo(remainingShare != null);
		if (remainingShare != null) {
			assertThat(budget.remainingShare().getAsDouble()).isCloseTo(remainingShare, offset(1e-9));
		}
	}

	private static BurnWindowPair windowPair(BurnWindowPair.Severity severity, long longSeconds, long shortSeconds,
			double bound) {
		return new BurnWindowPair(severity, TimeUnit.SECONDS.toMillis(longSeconds),
				TimeUnit.SECONDS.toMillis(shortSeconds), bound);
	}

	private static Objective objective(double target, long windowHours) {
		return new Objective("answered", Objective.Kind.AVAILABILITY, target, 0, windowHours);
	}

}
