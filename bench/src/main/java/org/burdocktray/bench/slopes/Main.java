package org.burdocktray.bench.slopes;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.burdocktray.bench.Measurement;

/**
 * Runs the measurements of this package that the arguments name, or all of them without
 * names. They are separate from the measurements in virtual time because their results
 * vary between runs. Thread safety: stateless.
 */
public final class Main {

	private static final List<Measurement> MEASUREMENTS = List.of(new BundleCostMeasurement(),
			new TelemetryCostMeasurement(), new ClaimCostMeasurement(), new VmListCostMeasurement(),
			new StartupCostMeasurement(), new RequestCostMeasurement(), new LatencyMeasurement());

	private static final String QUICK = "--quick";

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private Main() {
	}

	/**
	 * Runs the chosen measurements and exits the process.
	 * @param arguments names of measurements, and {@code --quick} for fewer repetitions
	 */
	public static void main(String[] arguments) {
		Set<String> names = Arrays.stream(arguments)
			.filter((argument) -> !QUICK.equals(argument))
			.collect(Collectors.toSet());
		List<String> known = MEASUREMENTS.stream().map(Measurement::name).toList();
		if (!known.containsAll(names)) {
			System.out.println("Unknown measurement; known are " + String.join(", ", known));
			System.exit(EXIT_USAGE);
		}
		List<Measurement> chosen = MEASUREMENTS.stream()
			.filter((measurement) -> names.isEmpty() || names.contains(measurement.name()))
			.toList();
		System.exit(run(chosen, Arrays.asList(arguments).contains(QUICK)));
	}

	// Returns the exit status so that main calls System.exit: threads of a failed
	// measurement would otherwise keep the process running.
	private static int run(List<Measurement> measurements, boolean quick) {
		try {
			for (Measurement measurement : measurements) {
				System.out.printf("%n%s%n%n", measurement.name());
				measurement.run(System.out, quick);
			}
			return 0;
		}
		catch (RuntimeException ex) {
			System.out.println("Failed: " + ex);
			return EXIT_FAILED;
		}
	}

}
