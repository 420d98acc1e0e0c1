package org.burdocktray.request.stream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the invariants of a stream for each pair of faults: 10 pairs per fault and 40
 * seeds per pair, with one to four engines per stage; 4,000 schedules in total.
 */
class StreamSessionPropertyTests {

	private static final int SEEDS = 40;

	@ParameterizedTest
	@EnumSource(StreamFault.class)
	void streamInvariantsHoldUnderTwoFaults(StreamFault first) {
		Map<String, List<String>> violationsByRun = new LinkedHashMap<>();
		for (StreamFault second : StreamFault.values()) {
			for (long seed = 1; seed <= SEEDS; seed++) {
				int enginesPerStage = 1 + (int) (seed % 4);
				List<String> violations = new StreamFaultSimulation(seed, enginesPerStage, first, second).run();
				if (!violations.isEmpty()) {
					violationsByRun.put(first + " and " + second + ", seed " + seed, violations);
				}
			}
		}
		assertThat(violationsByRun).isEmpty();
	}

}
