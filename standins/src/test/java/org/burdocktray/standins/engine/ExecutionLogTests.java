package org.burdocktray.standins.engine;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExecutionLogTests {

	private final ExecutionLog log = new ExecutionLog();

	@ParameterizedTest
	@CsvSource({ "0, 1, 2, 0", "0, 0, 1, 1", "0, 2, 3, 1", "1, 2, 3, 1", "0, 1, 0, 1" })
	void countsRepeatedAndOutOfOrderPositions(int first, int second, int third, long violations) {
		add(first);
		add(second);
		add(third);
		assertThat(this.log.violations()).isEqualTo(violations);
	}

	@Test
	void expectsFirstPositionAfterStreamHasEnded() {
		add(0);
		this.log.recordEnd("s1");
		add(0);
		assertThat(this.log.violations()).isZero();
	}

	private void add(int position) {
		this.log.add(new ExecutedStep("s1", 1, position, 0, 4, ""));
	}

}
