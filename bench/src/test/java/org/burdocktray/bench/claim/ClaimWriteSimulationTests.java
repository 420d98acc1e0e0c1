package org.burdocktray.bench.claim;

import org.burdocktray.process.claim.ClaimParameters;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the bound on store writes per claim.
 */
class ClaimWriteSimulationTests {

	private static final double MAX_WRITES_PER_CLAIM = 0.1;

	@Test
	void claimAndOutcomeNeedAtMostATenthOfAWriteAtAThousandClaimsPerSecond() {
		ClaimWriteSimulation.Result result = ClaimWriteSimulation.simulate(ClaimWriteSimulation.Ownership.KNOWN,
				ClaimParameters.standard(), 1_000, 10);
		assertThat(result.refused()).isZero();
		assertThat(result.writesPerClaim()).isLessThanOrEqualTo(MAX_WRITES_PER_CLAIM);
	}

	@Test
	void claimAndOutcomeNeedTwoWritesWithOneObjectPerClaim() {
		ClaimWriteSimulation.Result result = ClaimWriteSimulation
			.simulate(ClaimWriteSimulation.Ownership.OBJECT_PER_CLAIM, ClaimParameters.standard(), 1_000, 10);
		assertThat(result.writesPerClaim()).isEqualTo(2);
	}

}
