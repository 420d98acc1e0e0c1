package org.burdocktray.bench;

import java.io.PrintStream;

/**
 * A measurement whose results are checked against a bound. Two runs print the same
 * output. Thread safety: implementations run on one thread.
 */
public interface Measurement {

	/**
	 * Returns the name that selects the measurement on the command line.
	 * @return the unique name
	 */
	String name();

	/**
	 * Runs the measurement and prints a table with results, bounds and whether they hold.
	 * @param out the stream to print to
	 * @param quick whether to run the short form
	 * @return whether all bounds hold
	 */
	boolean run(PrintStream out, boolean quick);

}
