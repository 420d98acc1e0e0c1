package org.burdocktray.process.overload;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against reservations by estimates that half of the responses exceed.
 */
class OutputLengthsTests {

	private static final String ROUTE = "chat";

	private final OutputLengths lengths = new OutputLengths();

	private final SplittableRandom random = new SplittableRandom(7);

	@Test
	void learnsQuantileOfRoute() {
		recordLengths(400, 1);
		assertThat(this.lengths.ratio(ROUTE, 0.5)).isCloseTo(1, within(0.25));
		assertThat(this.lengths.ratio(ROUTE, 0.9)).isCloseTo(Math.exp(1.28 * 0.5), within(0.4));
		assertThat(this.lengths.ratio("other", 0.9)).isEqualTo(1);
	}

	@Test
	void fewResponsesChangeNothing() {
		this.lengths.record(ROUTE, 10, 80);
		assertThat(this.lengths.ratio(ROUTE, 0.9)).isEqualTo(1);
	}

	/** A route whose callers changed kept its old reservations. */
	@Test
	void followsChangedCallers() {
		recordLengths(1_000, 1);
		recordLengths(3_000, 3);
		assertThat(this.lengths.ratio(ROUTE, 0.5)).isCloseTo(3, within(0.7));
	}

	private void recordLengths(int count, double factor) {
		for (int response = 0; response < count; response++) {
			double ratio = factor * Math.exp(0.5 * this.random.nextGaussian());
			this.lengths.record(ROUTE, 100, (int) Math.max(1, 100 * ratio));
		}
	}

}
