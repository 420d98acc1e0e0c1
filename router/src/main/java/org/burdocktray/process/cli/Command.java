package org.burdocktray.process.cli;

import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A sub-command. Thread safety: implementations keep no state between runs.
 */
public interface Command {

	/**
	 * Returns the words that select the command.
	 * @return one or two words with a space between them
	 */
	String name();

	/**
	 * Returns the positional arguments that follow the options.
	 * @return the arguments as shown in the usage line, empty for none
	 */
	String arguments();

	/**
	 * Returns the summary that the help texts show.
	 * @return one line
	 */
	String summary();

	/**
	 * Returns the options of the command, in addition to {@code --help} and
	 * {@code --json}, which all commands have.
	 * @return the options
	 */
	default Options options() {
		return new Options();
	}

	/**
	 * Runs the command.
	 * @param line the parsed options and the arguments
	 * @param out receives the result
	 * @param err receives error messages
	 * @return the exit code
	 */
	ExitCode run(CommandLine line, PrintStream out, PrintStream err);

}
