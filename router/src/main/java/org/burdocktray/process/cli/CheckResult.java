package org.burdocktray.process.cli;

import java.util.List;

import org.burdocktray.version.config.ConfigFault;

/**
 * The result of checking a file. Thread safety: immutable.
 *
 * @param valid whether the file can be used
 * @param faults the faults of the file, empty if it is valid
 */
record CheckResult(boolean valid, List<ConfigFault> faults) {

	CheckResult {
		faults = List.copyOf(faults);
	}

}
