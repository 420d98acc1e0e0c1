package org.burdocktray.process.placement;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.TestReplicas;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DepartedEnginesTests {

	private static final DataCentre GHENT = new DataCentre("ghent");

	private final DepartedEngines departedEngines = new DepartedEngines();

	private final Replica first = TestReplicas.engine("first", "ghent", "fast", 0, 5);

	private final Replica second = TestReplicas.engine("second", "ghent", "fast", 5, 10);

	@Test
	void departedEngineIsReturnedWithItsLayers() {
		observe(0, this.first, this.second);
		observe(1, this.first);
		assertThat(this.departedEngines.unreplaced("s", GHENT)).containsExactly(this.second);
		assertThat(this.departedEngines.unreplaced("s", new DataCentre("leuven"))).isEmpty();
		assertThat(this.departedEngines.unreplaced("other", GHENT)).isEmpty();
	}

	@Test
	void enginesAreReturnedInTheOrderOfDeparture() {
		observe(0, this.first, this.second);
		observe(1, this.first);
		observe(2);
		assertThat(this.departedEngines.unreplaced("s", GHENT)).containsExactly(this.second, this.first);
	}

	@Test
	void engineThatIsListedAgainIsNotDeparted() {
		observe(0, this.first, this.second);
		observe(1);
		observe(2, this.first);
		assertThat(this.departedEngines.unreplaced("s", GHENT)).containsExactly(this.second);
	}

	@Test
	void engineIsDepartedAfterRestartWithTheSameId() {
		observe(0, this.first);
		observe(1, new Replica("first", 2, "s", this.first.address(), GHENT, 100, false, Optional.of("fast"),
				Optional.empty()));
		assertThat(this.departedEngines.unreplaced("s", GHENT)).containsExactly(this.first);
	}

	@Test
	void replacedEngineIsRemoved() {
		observe(0, this.first, this.second);
		observe(1);
		this.departedEngines.markReplaced(
				TestReplicas.emptyEngine("new", "ghent", "fast").withLayers(Optional.of(new LayerRange(0, 5))));
		assertThat(this.departedEngines.unreplaced("s", GHENT)).containsExactly(this.second);
	}

	@Test
	void engineIsRemovedWhenItIsNotReplacedInTime() {
		observe(0, this.first);
		observe(1);
		observe(62);
		assertThat(this.departedEngines.unreplaced("s", GHENT)).isEmpty();
	}

	private void observe(int second, Replica... engines) {
		this.departedEngines.observe(List.of(engines), TimeUnit.SECONDS.toNanos(second));
	}

}
