package org.burdocktray.version.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the faults of one file. Invariant: faults are added and never removed. Thread
 * safety: confined to the thread that reads the file.
 */
final class FaultCollector {

	private final String file;

	private final List<ConfigFault> faults = new ArrayList<>();

	FaultCollector(String file) {
		this.file = file;
	}

	void add(int line, String fieldPath, String expected, String found) {
		this.faults.add(new ConfigFault(this.file, line, fieldPath, expected, found));
	}

	int count() {
		return this.faults.size();
	}

	List<ConfigFault> sortedByLine() {
		return this.faults.stream().sorted(Comparator.comparingInt(ConfigFault::line)).toList();
	}

}
