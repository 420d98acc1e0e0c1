package org.burdocktray.version.routing;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class WeightedChoiceTests {

	@ParameterizedTest
	@CsvSource({ "0.0,1", "0.249,1", "0.25,3", "0.999,3" })
	void picksInProportionToWeightAndNeverItemsWithoutWeight(double unit, int expected) {
		WeightedChoice<Integer> choice = WeightedChoice.of(List.of(0, 1, 3), (item) -> item);
		assertThat(choice.pick(unit)).isEqualTo(expected);
	}

	@Test
	void pickThrowsWhenNoItemHasWeight() {
		WeightedChoice<Integer> choice = WeightedChoice.of(List.of(0), (item) -> item);
		assertThatIllegalStateException().isThrownBy(() -> choice.pick(0.5));
	}

}
