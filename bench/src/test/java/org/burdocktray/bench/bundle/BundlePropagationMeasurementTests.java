package org.burdocktray.bench.bundle;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the bounds on the propagation of bundles.
 */
class BundlePropagationMeasurementTests {

	// A strong reference, since a garbage-collected logger loses its level.
	private static final Logger PRODUCT_LOG = Logger.getLogger("org.burdocktray.process.bundle");

	@Test
	void bundlesPropagateWithinBounds() {
		PRODUCT_LOG.setLevel(Level.OFF);
		ByteArrayOutputStream table = new ByteArrayOutputStream();
		boolean boundsHold = new BundlePropagationMeasurement()
			.run(new PrintStream(table, true, StandardCharsets.UTF_8), true);
		assertThat(boundsHold).as(table.toString(StandardCharsets.UTF_8)).isTrue();
	}

}
