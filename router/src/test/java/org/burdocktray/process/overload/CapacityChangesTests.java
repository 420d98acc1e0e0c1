package org.burdocktray.process.overload;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CapacityChangesTests {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final CapacityChanges changes = new CapacityChanges();

	/** Guards against requests that count as late because engines were lost. */
	@Test
	void lossAndReturnExplainLateRequests() {
		this.changes.update(100, 0);
		assertThat(this.changes.explainsLate(0)).isFalse();
		this.changes.update(0, 10 * SECOND_NANOS);
		assertThat(this.changes.isNone()).isTrue();
		assertThat(this.changes.explainsLate(15 * SECOND_NANOS)).isTrue();
		this.changes.update(100, 20 * SECOND_NANOS);
		assertThat(this.changes.isSettling()).isTrue();
		assertThat(this.changes.explainsLate(19 * SECOND_NANOS)).isTrue();
		assertThat(this.changes.explainsLate(21 * SECOND_NANOS)).isFalse();
		this.changes.update(100, 22 * SECOND_NANOS);
		assertThat(this.changes.isSettling()).isFalse();
	}

	/** Guards against a capacity that changes all the time and hides an overload. */
	@Test
	void changesInSuccessionCountOnlyOnce() {
		this.changes.update(100, 0);
		this.changes.update(50, 10 * SECOND_NANOS);
		this.changes.update(100, 11 * SECOND_NANOS);
		assertThat(this.changes.explainsLate(11 * SECOND_NANOS)).isFalse();
	}

	/** Guards against slow changes, such as those of the pace, that count as a loss. */
	@Test
	void smallChangesAndTheFirstCapacityAreNoChanges() {
		this.changes.update(0, 0);
		assertThat(this.changes.isNone()).isFalse();
		this.changes.update(100, SECOND_NANOS);
		this.changes.update(80, 2 * SECOND_NANOS);
		assertThat(this.changes.isSettling()).isFalse();
		assertThat(this.changes.explainsLate(0)).isFalse();
	}

}
