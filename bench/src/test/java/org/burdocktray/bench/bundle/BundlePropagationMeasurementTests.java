package org.burdocktray.bench.bundle;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Holds the bounds on the spread of bundles.
 */
class BundlePropagationMeasurementTests {

	// Held, since loggers that nothing refers to lose their level.
	private static final Logger PRODUCT_LOG = Logger.getLogger("org.burdocktray.process.bundle");

	@Test
	void bundlesPropagateWithinBounds() {
		PRODUCT_LOG.setLevel(Level.OFF);
		ByteArrayOutputStream table = new ByteArrayOutputStream();
		boolean held = new BundlePropagationMeasurement().run(new PrintStream(table, true, StandardCharsets.UTF_8),
				true);
		assertThat(held).as(table.toString(StandardCharsets.UTF_8)).isTrue();
	}

}
