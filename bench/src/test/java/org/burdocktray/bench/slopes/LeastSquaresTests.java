package org.burdocktray.bench.slopes;

import java.util.List;

import org.assertj.core.data.Offset;
import org.burdocktray.bench.slopes.LeastSquares.Point;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class LeastSquaresTests {

	private static final Offset<Double> ROUNDING = Offset.offset(1e-9);

	@Test
	void fitsCollinearPointsExactly() {
		LeastSquares line = LeastSquares.fit(List.of(new Point(9, 25), new Point(40, 87), new Point(320, 647)));
		assertThat(line.slope()).isCloseTo(2, ROUNDING);
		assertThat(line.intercept()).isCloseTo(7, ROUNDING);
		assertThat(line.valueAt(1_000)).isCloseTo(2_007, ROUNDING);
	}

	@Test
	void minimisesSumOfSquaredErrors() {
		LeastSquares line = LeastSquares.fit(List.of(new Point(0, 0), new Point(1, 3), new Point(2, 0)));
		assertThat(line.slope()).isCloseTo(0, ROUNDING);
		assertThat(line.intercept()).isCloseTo(1, ROUNDING);
	}

	@Test
	void rejectsPointsOfASingleSize() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> LeastSquares.fit(List.of(new Point(5, 1), new Point(5, 2))))
			.withMessageContaining("two different sizes");
	}

}
