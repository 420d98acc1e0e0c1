package org.burdocktray.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.burdocktray.standins.model.ModelIdentity;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StreamTableTests {

	private static final long RETENTION_MILLIS = 30_000;

	private static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(RETENTION_MILLIS);

	private final List<String> removed = new ArrayList<>();

	private final StreamTable table = new StreamTable(RETENTION_MILLIS, this.removed::add);

	@Test
	void keepsStreamForRetentionTimeAfterItsLastStep() {
		enter(1, 0);
		enter(1, 5);
		this.table.removeExpired(RETENTION_NANOS + 4);
		assertThat(this.removed).isEmpty();
		this.table.removeExpired(RETENTION_NANOS + 5);
		assertThat(this.removed).containsExactly("s1");
	}

	@Test
	void endedAttemptIsNotCurrentEvenWhenStreamIsUnknown() {
		this.table.endAttempt("s1", 2, 0);
		assertThat(this.table.isCurrentAttempt("s1", 2)).isFalse();
		assertThat(this.table.isCurrentAttempt("s1", 3)).isTrue();
	}

	@Test
	void doesNotEndHigherAttempt() {
		enter(3, 0);
		assertThat(this.table.endAttempt("s1", 2, 0)).isFalse();
		assertThat(this.table.find("s1")).isPresent();
	}

	private void enter(long attempt, long nowNanos) {
		this.table.startAttempt("s1", attempt, new ModelIdentity("m", "1", ""), new Stage("127.0.0.1:1", 0, 4),
				nowNanos);
	}

}
