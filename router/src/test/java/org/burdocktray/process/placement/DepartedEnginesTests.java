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

	private final DepartedEngines vacancies = new DepartedEngines();

	private final Replica one = TestReplicas.engine("one", "ghent", "fast", 0, 5);

	private final Replica two = TestReplicas.engine("two", "ghent", "fast", 5, 10);

	@Test
	void engineThatLeavesIsRememberedWithItsLayers() {
		observe(0, this.one, this.two);
		observe(1, this.one);
		assertThat(this.vacancies.unreplaced("s", GHENT)).containsExactly(this.two);
		assertThat(this.vacancies.unreplaced("s", new DataCentre("leuven"))).isEmpty();
		assertThat(this.vacancies.unreplaced("other", GHENT)).isEmpty();
	}

	@Test
	void engineThatLeftFirstComesFirst() {
		observe(0, this.one, this.two);
		observe(1, this.one);
		observe(2);
		assertThat(this.vacancies.unreplaced("s", GHENT)).containsExactly(this.two, this.one);
	}

	@Test
	void engineThatIsListedAgainHasNotLeft() {
		observe(0, this.one, this.two);
		observe(1);
		observe(2, this.one);
		assertThat(this.vacancies.unreplaced("s", GHENT)).containsExactly(this.two);
	}

	@Test
	void restartUnderTheSameIdLeavesItsLayers() {
		observe(0, this.one);
		observe(1, new Replica("one", 2, "s", this.one.address(), GHENT, 100, false, Optional.of("fast"),
				Optional.empty()));
		assertThat(this.vacancies.unreplaced("s", GHENT)).containsExactly(this.one);
	}

	@Test
	void engineThatWasReplacedIsForgotten() {
		observe(0, this.one, this.two);
		observe(1);
		this.vacancies.markReplaced(
				TestReplicas.emptyEngine("new", "ghent", "fast").withLayers(Optional.of(new LayerRange(0, 5))));
		assertThat(this.vacancies.unreplaced("s", GHENT)).containsExactly(this.two);
	}

	@Test
	void engineThatIsNotReplacedForLongIsForgotten() {
		observe(0, this.one);
		observe(1);
		observe(62);
		assertThat(this.vacancies.unreplaced("s", GHENT)).isEmpty();
	}

	private void observe(int second, Replica... engines) {
		this.vacancies.observe(List.of(engines), TimeUnit.SECONDS.toNanos(second));
	}

}
