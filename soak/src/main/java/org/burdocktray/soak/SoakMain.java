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
 * Runs seeds one after the other and exits with 1 when a promise was broken. The logs of
 * the gateways of such a seed are kept. Thread safety: runs once in a process.
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
		Options options = new Options().addOption(option(JAR, "FILE", "The program."))
			.addOption(option(FIRST_SEED, "N", "The first seed."))
			.addOption(option(SEEDS, "N", "How many seeds."))
			.addOption(option(SECONDS, "N", "How long faults come in each run."));
		try {
			CommandLine line = new DefaultParser().parse(options, arguments);
			System.exit(run(line, out) ? 0 : 1);
		}
		catch (ParseException | NumberFormatException ex) {
			out.println("soak: " + ex.getMessage());
			System.exit(2);
		}
	}

	private static boolean run(CommandLine line, PrintStream out) throws IOException, InterruptedException {
		long first = Long.parseLong(line.getOptionValue(FIRST_SEED));
		long seeds = Long.parseLong(line.getOptionValue(SEEDS));
		long runMillis = MILLIS_PER_SECOND * Long.parseLong(line.getOptionValue(SECONDS));
		boolean isKept = true;
		for (long seed = first; seed < first + seeds; seed++) {
			Path directory = Files.createTempDirectory("soak-" + seed + "-");
			SoakRun.Result result = new SoakRun(seed, runMillis, directory, Path.of(line.getOptionValue(JAR))).run();
			out.printf("seed %d: %d calls, %d served, %d faults, %s%n", seed, result.calls(), result.served(),
					result.faultLog().size(), result.violations().isEmpty() ? "no promise broken" : "BROKEN");
			if (!result.violations().isEmpty()) {
				isKept = false;
				result.violations().forEach((fault) -> out.println("  " + fault));
				result.faultLog().forEach((fault) -> out.println("  " + fault));
				out.println("  logs: " + directory);
			}
		}
		return isKept;
	}

	private static Option option(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).required().desc(description).get();
	}

}
