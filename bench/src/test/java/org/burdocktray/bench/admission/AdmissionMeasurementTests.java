package org.burdocktray.bench.admission;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionMeasurementTests {

	@Test
	void goodputAndServedSharesStayWithinBoundsForAllFleetSizes() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		boolean withinBounds = new AdmissionMeasurement().run(new PrintStream(output, true, StandardCharsets.UTF_8),
				true);
		assertThat(withinBounds).as(output.toString(StandardCharsets.UTF_8)).isTrue();
	}

}
