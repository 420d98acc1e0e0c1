package org.burdocktray.bench.recovery;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Callers wait at most two seconds for a failed stage, less than for a restart.
 */
class RecoveryMeasurementTests {

	@ParameterizedTest
	@CsvSource({ "DIES, 1", "DIES, 50", "DIES, 400", "FREEZES, 1", "FREEZES, 50" })
	void pauseStaysWithinBoundsAndIsReproducible(RecoveryScenario.Failure failure, int streams) {
		ByteArrayOutputStream first = new ByteArrayOutputStream();
		ByteArrayOutputStream second = new ByteArrayOutputStream();
		boolean holds = measure(first, failure, streams);
		measure(second, failure, streams);
		assertThat(holds).as(first.toString(StandardCharsets.UTF_8)).isTrue();
		assertThat(second.toByteArray()).isEqualTo(first.toByteArray());
	}

	/** Listed in KNOWN-RED.txt. */
	@Test
	@Tag("known-red")
	void pauseHoldsItsBoundsWhenAStageOfFourHundredStreamsFreezes() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		boolean holds = measure(out, RecoveryScenario.Failure.FREEZES, 400);
		assertThat(holds).as(out.toString(StandardCharsets.UTF_8)).isTrue();
	}

	private static boolean measure(ByteArrayOutputStream out, RecoveryScenario.Failure failure, int streams) {
		return RecoveryMeasurement.isWithinBound(new PrintStream(out, true, StandardCharsets.UTF_8), true, failure,
				streams);
	}

}
