package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.CommandLine;
import org.burdocktray.version.config.ConfigFault;

/**
 * Prints the results of commands as one line of JSON. Thread safety: stateless.
 */
public final class JsonOutput {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private JsonOutput() {
	}

	/**
	 * Returns whether the options request JSON output.
	 * @param line the parsed options
	 * @return true if results are to be printed as JSON
	 */
	public static boolean isRequested(CommandLine line) {
		return line.hasOption(CommandRunner.JSON_OPTION);
	}

	/**
	 * Prints a result as one line of JSON.
	 * @param result the record to print
	 * @param out receives the line
	 */
	public static void print(Object result, PrintStream out) {
		try {
			out.println(MAPPER.writeValueAsString(result));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("result of the command cannot be written as JSON", ex);
		}
	}

	/**
	 * Prints the faults of a file, as JSON to the output if the options request it, or
	 * else as lines to the error output.
	 * @param faults the faults
	 * @param line the parsed options
	 * @param out receives JSON
	 * @param err receives lines
	 */
	public static void printFaults(List<ConfigFault> faults, CommandLine line, PrintStream out, PrintStream err) {
		if (isRequested(line)) {
			print(new CheckResult(false, faults), out);
			return;
		}
		faults.forEach(err::println);
	}

}
