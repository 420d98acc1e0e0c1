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
	 * Says whether the operator asked for JSON.
	 * @param line the parsed options
	 * @return true when results are to be printed as JSON
	 */
	public static boolean isRequested(CommandLine line) {
		return line.hasOption(CommandRunner.JSON_OPTION);
	}

	/**
	 * Prints a record.
	 * @param result the record
	 * @param out takes the line
	 */
	public static void print(Object result, PrintStream out) {
		try {
			out.println(MAPPER.writeValueAsString(result));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("results of commands can always be written", ex);
		}
	}

	/**
	 * Prints the faults of a file: as JSON to the output, or else as lines to the error
	 * output.
	 * @param faults the faults
	 * @param line the parsed options
	 * @param out takes JSON
	 * @param err takes lines
	 */
	public static void printFaults(List<ConfigFault> faults, CommandLine line, PrintStream out, PrintStream err) {
		if (isRequested(line)) {
			print(new CheckResult(false, faults), out);
			return;
		}
		faults.forEach(err::println);
	}

}
