package org.burdocktray.request.stream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A stream keeps its promises under each pair of faults: 10 pairs a fault, 40 seeds a
 * pair with one to four engines a stage, 4,000 schedules in all.
 */
class StreamSessionPropertyTests {

	private static final int SEEDS = 40;

	@ParameterizedTest
	@EnumSource(StreamFault.class)
	void streamKeepsItsPromisesUnderTwoFaults(StreamFault first) {
		Map<String, List<String>> broken = new LinkedHashMap<>();
		for (StreamFault second : StreamFault.values()) {
			for (long seed = 1; seed <= SEEDS; seed++) {
				int enginesPerStage = 1 + (int) (seed % 4);
				List<String> violations = new StreamFaultSimulation(seed, enginesPerStage, first, second).run();
				if (!violations.isEmpty()) {
					broken.put(first + " and " + second + ", seed " + seed, violations);
				}
			}
		}
		assertThat(broken).isEmpty();
	}

}
