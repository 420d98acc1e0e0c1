package org.burdocktray.bench.bundle;

import java.util.logging.Level;
import java.util.logging.Logger;

import org.burdocktray.process.bundle.FollowerSettings;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the guarantees for bundles under random schedules of faults, and that they fail
 * when one of the mechanisms is disabled.
 */
class BundleFaultSimulationTests {

	private static final int SEED_COUNT = 1_000;

	private static final int REDUCED_SEED_COUNT = 100;

	// A strong reference, since a garbage-collected logger loses its level.
	private static final Logger PRODUCT_LOG = Logger.getLogger("org.burdocktray.process.bundle");

	private final SigningFixture signing = new SigningFixture();

	@BeforeAll
	static void disableProductLog() {
		PRODUCT_LOG.setLevel(Level.OFF);
	}

	@Test
	void allVmsActivateEveryRolledBundleAndNeverRevert() {
		BundleFaultSimulation.Counts sum = BundleFaultSimulation.Counts.zero();
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			BundleFaultSimulation.Counts counts = new BundleFaultSimulation(seed, this.signing,
					SimulatedFleet.Options.ALL_ENABLED)
				.run();
			assertThat(counts).as("seed %d", seed).matches(BundleFaultSimulation.Counts::hasNoViolations);
			sum = sum.plus(counts);
		}
		assertThat(sum.rolled()).as("bundles rolled").isGreaterThan(SEED_COUNT);
		assertThat(sum.boundChecks()).as("times the bound was checked").isGreaterThan(SEED_COUNT);
	}

	@Test
	void versionForksWithoutCreateCondition() {
		BundleFaultSimulation.Counts sum = BundleFaultSimulation.Counts.zero();
		for (long seed = 1; seed <= REDUCED_SEED_COUNT; seed++) {
			BundleFaultSimulation simulation = new BundleFaultSimulation(seed, this.signing,
					SimulatedFleet.Options.ALL_ENABLED);
			simulation.fleet().store().disableCreateCondition();
			sum = sum.plus(simulation.run());
		}
		assertThat(sum.forks()).isPositive();
	}

	@Test
	void bundlesArriveLateWithoutPeerPropagation() {
		BundleFaultSimulation.Counts sum = BundleFaultSimulation.Counts.zero();
		for (long seed = 1; seed <= REDUCED_SEED_COUNT; seed++) {
			sum = sum.plus(new BundleFaultSimulation(seed, this.signing,
					new SimulatedFleet.Options(FollowerSettings.DEFAULT, false, true))
				.run());
		}
		assertThat(sum.lateVms()).isPositive();
	}

}
