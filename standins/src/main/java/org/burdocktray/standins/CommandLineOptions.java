package org.burdocktray.standins;

import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.burdocktray.standins.engine.EngineOptions;

/**
 * The parsed command line of the stand-ins. Unknown options and surplus arguments are
 * rejected. Thread safety: immutable.
 */
final class CommandLineOptions {

	private static final Options OPTIONS = new Options().addOption(valueOption("port", "port; 0 for any free port"))
		.addOption(valueOption("upstream", "engine: name of the upstream"))
		.addOption(valueOption("model", "engine, reference: name of the model"))
		.addOption(valueOption("model-version", "engine, reference: version of the model"))
		.addOption(valueOption("adapters", "engine: loaded adapters, separated by commas"))
		.addOption(valueOption("from-layer", "engine: first layer"))
		.addOption(valueOption("to-layer", "engine, reference: end of the layer range, exclusive"))
		.addOption(valueOption("tokens-per-second", "engine: positions per second; 0 for no limit"))
		.addOption(valueOption("step-millis", "engine: min duration of a step"))
		.addOption(valueOption("max-streams", "engine: max concurrent streams"))
		.addOption(valueOption("step-timeout-millis", "engine: timeout of a step at one later stage"))
		.addOption(valueOption("keep-millis", "engine: time for which a stream's state is kept"))
		.addOption(flagOption("ignores-fencing", "engine: accepts orders with an outdated fencing number"))
		.addOption(flagOption("removes-duplicates", "service: executes each idempotency key once"))
		.addOption(valueOption("prompt", "reference: the prompt"))
		.addOption(valueOption("max-tokens", "reference: max tokens to generate"));

	private final CommandLine commandLine;

	private CommandLineOptions(CommandLine commandLine) {
		this.commandLine = commandLine;
	}

	static CommandLineOptions parse(String[] arguments) throws ParseException {
		CommandLine commandLine = new DefaultParser().parse(OPTIONS, arguments);
		if (commandLine.getArgList().size() != 1) {
			throw new ParseException("expected exactly one command, got " + commandLine.getArgList());
		}
		return new CommandLineOptions(commandLine);
	}

	String command() {
		return this.commandLine.getArgList().get(0);
	}

	String stringValue(String name, String defaultValue) {
		return this.commandLine.getOptionValue(name, defaultValue);
	}

	boolean hasOption(String name) {
		return this.commandLine.hasOption(name);
	}

	int intValue(String name, int defaultValue) throws ParseException {
		String text = stringValue(name, String.valueOf(defaultValue));
		try {
			return Integer.parseInt(text);
		}
		catch (NumberFormatException ex) {
			throw new ParseException("--" + name + " must be an integer, was " + text);
		}
	}

	EngineOptions engineOptions() throws ParseException {
		EngineOptions defaults = EngineOptions.of(stringValue("upstream", "engine"), stringValue("model", "toy"),
				stringValue("model-version", "1"), intValue("from-layer", 0), intValue("to-layer", 1));
		return defaults.withAdapters(adapters())
			.withRate(doubleValue("tokens-per-second"), intValue("step-millis", 0))
			.withMaxStreams(intValue("max-streams", defaults.maxStreams()))
			.withChecksFencing(!hasOption("ignores-fencing"))
			.withTimeouts(intValue("step-timeout-millis", (int) defaults.stepTimeoutMillis()),
					intValue("keep-millis", (int) defaults.retentionMillis()));
	}

	private List<String> adapters() {
		return Arrays.stream(stringValue("adapters", "").split(",")).filter((name) -> !name.isEmpty()).toList();
	}

	private double doubleValue(String name) throws ParseException {
		String text = stringValue(name, "0");
		try {
			return Double.parseDouble(text);
		}
		catch (NumberFormatException ex) {
			throw new ParseException("--" + name + " must be a number, was " + text);
		}
	}

	private static Option valueOption(String name, String description) {
		return Option.builder().longOpt(name).hasArg().desc(description).build();
	}

	private static Option flagOption(String name, String description) {
		return Option.builder().longOpt(name).desc(description).build();
	}

}
