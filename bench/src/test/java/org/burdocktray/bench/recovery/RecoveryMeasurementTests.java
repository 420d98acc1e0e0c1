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
 * Checks that a failed stage interrupts a stream for at most two seconds, and for less
 * time than a restart.
 */
class RecoveryMeasurementTests {

	@ParameterizedTest
	@CsvSource({ "DIES, 1", "DIES, 50", "DIES, 400", "FREEZES, 1", "FREEZES, 50" })
	void pauseStaysWithinBoundsAndIsReproducible(RecoveryScenario.Failure failure, int streams) {
		ByteArrayOutputStream first = new ByteArrayOutputStream();
		ByteArrayOutputStream second = new ByteArrayOutputStream();
		boolean boundHolds = measure(first, failure, streams);
		measure(second, failure, streams);
		assertThat(boundHolds).as(first.toString(StandardCharsets.UTF_8)).isTrue();
		assertThat(second.toByteArray()).isEqualTo(first.toByteArray());
	}

	/** Listed in KNOWN-RED.txt. */
	@Test
	@Tag("known-red")
	void pauseHoldsItsBoundsWhenAStageOfFourHundredStreamsFreezes() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		boolean boundHolds = measure(out, RecoveryScenario.Failure.FREEZES, 400);
		assertThat(boundHolds).as(out.toString(StandardCharsets.UTF_8)).isTrue();
	}

	private static boolean measure(ByteArrayOutputStream out, RecoveryScenario.Failure failure, int streams) {
		return RecoveryMeasurement.isWithinBound(new PrintStream(out, true, StandardCharsets.UTF_8), true, failure,
				streams);
	}

}
