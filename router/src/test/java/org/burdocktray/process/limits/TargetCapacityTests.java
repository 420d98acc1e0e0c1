package org.burdocktray.process.limits;

import java.util.List;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Model;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetCapacityTests {

	private static final Model MODEL = new Model("model", "1", 4, 1, 100);

	@Test
	void layerWithLeastCapacityLimitsModel() {
		TargetCapacity capacity = TargetCapacity.of(MODEL,
				List.of(engine(0, 2, 8, 800), engine(2, 4, 3, 900), engine(0, 4, 2, 100)));
		assertThat(capacity).isEqualTo(new TargetCapacity(5, 900));
	}

	@Test
	void capacityIsZeroWhenNoEngineHoldsALayer() {
		assertThat(TargetCapacity.of(MODEL, List.of(engine(0, 3, 8, 800)))).isEqualTo(new TargetCapacity(0, 0));
	}

	@Test
	void holdingTimeFollowsTokenRateOfFullFleet() {
		assertThat(new TargetCapacity(10, 1000).holdingMillis(100)).isEqualTo(1000);
	}

	private static Engine engine(int fromLayer, int toLayer, int streams, double tokensPerSecond) {
		return new Engine("engine", new DataCentre("ghent"), new NetworkAddress("127.0.0.1", 1), "model", fromLayer,
				toLayer, "kind", tokensPerSecond, streams, List.of(), true);
	}

}
