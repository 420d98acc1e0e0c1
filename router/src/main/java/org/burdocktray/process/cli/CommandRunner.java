package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Selects a command by its name, parses its options and runs it. Thread safety: stateless
 * after construction.
 */
final class CommandRunner {

	static final String JSON_OPTION = "json";

	private static final String HELP_OPTION = "help";

	private static final String PROGRAM_NAME = "burdocktray";

	private final List<Command> commands;

	CommandRunner(List<Command> commands) {
		this.commands = List.copyOf(commands);
	}

	ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
		if (arguments.length == 0) {
			printOverview(err);
			return ExitCode.USAGE;
		}
		if (List.of("--help", "-h", HELP_OPTION).contains(arguments[0])) {
			printOverview(out);
			return ExitCode.OK;
		}
		Optional<Command> command = findCommand(arguments);
		if (command.isEmpty()) {
			err.println(PROGRAM_NAME + ": no such command: " + String.join(" ", firstWords(arguments, 2)));
			printOverview(err);
			return ExitCode.USAGE;
		}
		return run(command.get(), arguments, out, err);
	}

	private ExitCode run(Command command, String[] arguments, PrintStream out, PrintStream err) {
		String[] optionsAndArguments = Arrays.copyOfRange(arguments, wordCount(command), arguments.length);
		Options options = createOptions(command);
		if (Arrays.asList(optionsAndArguments).contains("--" + HELP_OPTION)
				|| Arrays.asList(optionsAndArguments).contains("-h")) {
			printHelp(command, options, out);
			return ExitCode.OK;
		}
		try {
			CommandLine line = new DefaultParser(false).parse(options, optionsAndArguments);
			return run(command, line, out, err);
		}
		catch (ParseException ex) {
			return printUsageError(command, ex.getMessage(), err);
		}
	}

	private ExitCode run(Command command, CommandLine line, PrintStream out, PrintStream err) {
		int expected = command.arguments().isEmpty() ? 0 : command.arguments().split(" ").length;
		if (line.getArgList().size() != expected) {
			return printUsageError(command, "expected " + expected + " arguments, found " + line.getArgList().size(),
					err);
		}
		return command.run(line, out, err);
	}

	private static ExitCode printUsageError(Command command, String problem, PrintStream err) {
		err.println(PROGRAM_NAME + " " + command.name() + ": " + problem);
		err.println("usage: " + usageLine(command));
		return ExitCode.USAGE;
	}

	private Optional<Command> findCommand(String[] arguments) {
		return this.commands.stream()
			.filter((command) -> command.name().equals(String.join(" ", firstWords(arguments, wordCount(command)))))
			.findFirst();
	}

	private static List<String> firstWords(String[] arguments, int count) {
		return Arrays.asList(arguments).subList(0, Math.min(count, arguments.length));
	}

	private static int wordCount(Command command) {
		return command.name().split(" ").length;
	}

	private static Options createOptions(Command command) {
		Options options = new Options();
		command.options().getOptions().forEach(options::addOption);
		options.addOption(Option.builder("h").longOpt(HELP_OPTION).desc("Show this help.").get());
		options.addOption(Option.builder().longOpt(JSON_OPTION).desc("Print the result as JSON.").get());
		return options;
	}

	private static String usageLine(Command command) {
		return (PROGRAM_NAME + " " + command.name() + " [OPTIONS] " + command.arguments()).trim();
	}

	private void printOverview(PrintStream out) {
		out.println("usage: " + PROGRAM_NAME + " COMMAND [OPTIONS] [ARGUMENTS]");
		out.println();
		this.commands.forEach((command) -> out.printf("  %-18s %s%n", command.name(), command.summary()));
		out.println();
		out.println("'" + PROGRAM_NAME + " COMMAND --help' shows the options of a command.");
		out.println("Exit codes: 0 done, 1 fault found or refused, 2 usage or configuration error,");
		out.println("3 platform unavailable, 4 another operator was faster.");
	}

	private static void printHelp(Command command, Options options, PrintStream out) {
		out.println("usage: " + usageLine(command));
		out.println(command.summary());
		out.println();
		for (Option option : options.getOptions()) {
			String argument = option.hasArg() ? " " + option.getArgName() : "";
			out.printf("  --%-22s %s%n", option.getLongOpt() + argument, option.getDescription());
		}
	}

}
