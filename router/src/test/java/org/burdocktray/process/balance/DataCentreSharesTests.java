package org.burdocktray.process.balance;

import java.util.Map;

import org.assertj.core.data.Offset;
import org.burdocktray.model.DataCentre;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DataCentreSharesTests {

	private static final DataCentre GHENT = new DataCentre("ghent");

	private static final DataCentre LEUVEN = new DataCentre("leuven");

	private static final DataCentre MONS = new DataCentre("mons");

	private static final Map<DataCentre, Double> EQUAL = Map.of(GHENT, 10.0, LEUVEN, 10.0, MONS, 10.0);

	/** Guards against bytes between data centres while the local one has room. */
	@Test
	void keepsRequestsWhileThereIsRoom() {
		assertThat(DataCentreShares.compute(GHENT, Map.of(GHENT, 9.0, LEUVEN, 2.0), EQUAL))
			.isEqualTo(Map.of(GHENT, 1.0));
	}

	/** Guards against a data centre at twice its capacity that queues requests. */
	@Test
	void sendsOverflowToFreeDataCentres() {
		Map<DataCentre, Double> shares = DataCentreShares.compute(GHENT, Map.of(GHENT, 20.0, LEUVEN, 10.0, MONS, 2.0),
				EQUAL);
		assertThat(shares.get(GHENT)).isBetween(0.55, 0.75);
		assertThat(shares.get(MONS)).isGreaterThan(2 * shares.get(LEUVEN));
		assertThat(shares.values().stream().mapToDouble(Double::doubleValue).sum()).isEqualTo(1, Offset.offset(1e-9));
	}

	/** Guards against flapping: a small change of demand moves few requests. */
	@Test
	void sharesChangeContinuously() {
		double previous = 1;
		for (double demand = 5; demand < 40; demand += 0.1) {
			double kept = DataCentreShares.compute(GHENT, Map.of(GHENT, demand, LEUVEN, 5.0, MONS, 5.0), EQUAL)
				.get(GHENT);
			assertThat(previous - kept).isBetween(-0.01, 0.02);
			previous = kept;
		}
	}

	/** Guards against requests to a data centre that has lost its engines. */
	@Test
	void dataCentreWithoutEnginesServesNothing() {
		assertThat(DataCentreShares.compute(GHENT, Map.of(GHENT, 5.0), Map.of(LEUVEN, 10.0, MONS, 0.0)))
			.isEqualTo(Map.of(LEUVEN, 1.0));
		assertThat(DataCentreShares.compute(GHENT, Map.of(GHENT, 5.0), Map.of())).isEmpty();
	}

}
