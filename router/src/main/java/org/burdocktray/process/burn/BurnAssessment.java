package org.burdocktray.process.burn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.burdocktray.version.bundle.Objective;

/**
 * Evaluates the counters of the fleet against the objectives of a bundle. Invariant: an
 * objective that the bundle does not define gets a note and no burn rate. Thread safety:
 * immutable.
 */
public final class BurnAssessment {

	/**
	 * Number of steps of a chart. A chart spans the longest alert window, which is 72
	 * times the shortest long window. Each step is therefore shorter than any long
	 * window, and no burn falls between two points.
	 */
	private static final int HISTORY_STEPS = 144;

	private final long bundleVersion;

	private final List<Objective> objectives;

	/**
	 * Creates an assessment.
	 * @param bundleVersion the version of the bundle
	 * @param objectives the objectives of the bundle
	 */
	public BurnAssessment(long bundleVersion, List<Objective> objectives) {
		this.bundleVersion = bundleVersion;
		this.objectives = List.copyOf(objectives);
	}

	/**
	 * Computes burn rates, error budgets and coverage.
	 * @param fleet the counters of all VMs
	 * @param asOfMillis the end of all windows, in milliseconds since 1970
	 * @param sourceNotes notes from the collection of the scrapes
	 * @return the report
	 */
	public BurnReport assess(FleetCounters fleet, long asOfMillis, Collection<BurnNote> sourceNotes) {
		Map<String, Objective> objectivesByName = this.objectives.stream()
			.collect(Collectors.toMap(Objective::name, Function.identity()));
		List<IndicatorBurn> burns = fleet.indicators()
			.stream()
			.filter((indicator) -> objectivesByName.containsKey(indicator.objective()))
			.map((indicator) -> assessIndicator(fleet, indicator, objectivesByName.get(indicator.objective()),
					asOfMillis))
			.toList();
		List<VmCoverage> vms = fleet.vms().stream().map((vm) -> computeCoverage(fleet, vm, asOfMillis)).toList();
		List<BurnNote> notes = new ArrayList<>(sourceNotes);
		notes.addAll(new BurnNoteCollector(this.bundleVersion, objectivesByName.keySet()).collect(fleet, asOfMillis));
		return new BurnReport(asOfMillis, this.bundleVersion, burns, vms, notes);
	}

	private static IndicatorBurn assessIndicator(FleetCounters fleet, Indicator indicator, Objective objective,
			long asOfMillis) {
		List<BurnAlert> alerts = BurnWindowPair.forObjective(objective)
			.stream()
			.map((windowPair) -> new BurnAlert(windowPair,
					computeRate(fleet, indicator, objective, asOfMillis, windowPair.longMillis()),
					computeRate(fleet, indicator, objective, asOfMillis, windowPair.shortMillis())))
			.toList();
		long windowMillis = TimeUnit.HOURS.toMillis(objective.windowHours());
		TimeSpan span = TimeSpan.endingAt(asOfMillis, windowMillis);
		ErrorBudget budget = ErrorBudget.of(objective, windowMillis, fleet.increase(indicator, span),
				fleet.coverage(span));
		return new IndicatorBurn(indicator.organisation(), objective, alerts, budget,
				computeHistory(fleet, indicator, objective, asOfMillis));
	}

	private static List<BurnPoint> computeHistory(FleetCounters fleet, Indicator indicator, Objective objective,
			long asOfMillis) {
		List<BurnWindowPair> windowPairs = BurnWindowPair.forObjective(objective);
		long longestMillis = windowPairs.stream().mapToLong(BurnWindowPair::longMillis).max().orElse(0);
		long fromMillis = Math.max(asOfMillis - longestMillis, fleet.firstScrapeMillis());
		long stepMillis = Math.max(1, (asOfMillis - fromMillis) / HISTORY_STEPS);
		return LongStream.iterate(HISTORY_STEPS, (step) -> step >= 0, (step) -> step - 1)
			.map((step) -> asOfMillis - step * stepMillis)
			.filter((timeMillis) -> timeMillis >= fromMillis)
			.mapToObj((timeMillis) -> new BurnPoint(timeMillis, windowPairs.stream()
				.map((windowPair) -> computeRate(fleet, indicator, objective, timeMillis, windowPair.longMillis()))
				.toList()))
			.toList();
	}

	private static BurnRate computeRate(FleetCounters fleet, Indicator indicator, Objective objective, long toMillis,
			long windowMillis) {
		TimeSpan span = TimeSpan.endingAt(toMillis, windowMillis);
		return BurnRate.of(objective, windowMillis, fleet.increase(indicator, span), fleet.coverage(span));
	}

	private VmCoverage computeCoverage(FleetCounters fleet, String vm, long asOfMillis) {
		List<VmCoverage.WindowCoverage> windows = windowLengthsMillis()
			.map((windowMillis) -> fleet.coverage(vm, TimeSpan.endingAt(asOfMillis, windowMillis)))
			.toList();
		return fleet.series()
			.stream()
			.filter((series) -> series.vm().equals(vm))
			.findFirst()
			.map((series) -> new VmCoverage(vm, series.firstScrapeMillis(), series.lastScrapeMillis(),
					series.restarts(), windows))
			.orElseGet(() -> new VmCoverage(vm, 0, 0, 0, windows));
	}

	private Stream<Long> windowLengthsMillis() {
		return this.objectives.stream()
			.flatMap((objective) -> Stream.concat(
					BurnWindowPair.forObjective(objective)
						.stream()
						.flatMap((windowPair) -> Stream.of(windowPair.shortMillis(), windowPair.longMillis())),
					Stream.of(TimeUnit.HOURS.toMillis(objective.windowHours()))))
			.distinct()
			.sorted();
	}

}
