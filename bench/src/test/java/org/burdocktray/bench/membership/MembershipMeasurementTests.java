package org.burdocktray.bench.membership;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the bounds of the short form of the measurement.
 */
class MembershipMeasurementTests {

	@Test
	void controlTrafficStaysWithinBounds() {
		PrintStream table = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
		assertThat(new MembershipMeasurement().run(table, true)).isTrue();
	}

}
