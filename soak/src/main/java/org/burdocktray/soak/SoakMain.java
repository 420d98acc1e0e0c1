package org.burdocktray.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs the soak with consecutive seeds and exits with status 1 when a guarantee was
 * violated. Prints the directory of the gateways' logs for such a seed. Thread safety:
 * runs once per process.
 */
public final class SoakMain {

	private static final String JAR = "jar";

	private static final String FIRST_SEED = "first-seed";

	private static final String SEEDS = "seeds";

	private static final String SECONDS = "seconds";

	private static final long MILLIS_PER_SECOND = 1_000;

	private SoakMain() {
	}

	/**
	 * Runs the soak.
	 * @param arguments the options
	 * @throws IOException when a process can't be started
	 * @throws InterruptedException when the run is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		System.setProperty("jdk.httpclient.disableRetryConnect", "true");
		PrintStream out = System.out;
		Options options = new Options().addOption(option(JAR, "FILE", "The JAR file of the program."))
			.addOption(option(FIRST_SEED, "N", "The first seed."))
			.addOption(option(SEEDS, "N", "The number of seeds."))
			.addOption(option(SECONDS, "N", "The time in seconds for which each run injects faults."));
		try {
			CommandLine commandLine = new DefaultParser().parse(options, arguments);
			System.exit(run(commandLine, out) ? 0 : 1);
		}
		catch (ParseException | NumberFormatException ex) {
			out.println("soak: " + ex.getMessage());
			System.exit(2);
		}
	}

	private static boolean run(CommandLine commandLine, PrintStream out) throws IOException, InterruptedException {
		long firstSeed = Long.parseLong(commandLine.getOptionValue(FIRST_SEED));
		long seedCount = Long.parseLong(commandLine.getOptionValue(SEEDS));
		long runMillis = MILLIS_PER_SECOND * Long.parseLong(commandLine.getOptionValue(SECONDS));
		boolean hasNoViolations = true;
		for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
			Path directory = Files.createTempDirectory("soak-" + seed + "-");
			SoakRun.Result result = new SoakRun(seed, runMillis, directory, Path.of(commandLine.getOptionValue(JAR)))
				.run();
			out.printf("seed %d: %d calls, %d served, %d faults, %s%n", seed, result.calls(), result.served(),
					result.faultLog().size(), result.violations().isEmpty() ? "no promise broken" : "BROKEN");
			if (!result.violations().isEmpty()) {
				hasNoViolations = false;
				result.violations().forEach((message) -> out.println("  " + message));
				result.faultLog().forEach((message) -> out.println("  " + message));
				out.println("  logs: " + directory);
			}
		}
		return hasNoViolations;
	}

	private static Option option(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).required().desc(description).get();
	}

}
