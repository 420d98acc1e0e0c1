package org.burdocktray.process.balance;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.StreamOutputs;
import org.burdocktray.process.directory.TestReplicas;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EnginePaceTests {

	private final EnginePace pace = new EnginePace();

	private final StreamOutputs outputs = new StreamOutputs(this.pace);

	private final Replica shared = TestReplicas.engine("shared", "ghent", "fast", 0, 5);

	private final Replica slow = TestReplicas.engine("slow", "ghent", "fast", 5, 10);

	private final Replica sound = TestReplicas.engine("sound", "ghent", "fast", 5, 10);

	private final StreamOutputs.OpenStream throughSlow = this.outputs.open(List.of(this.shared, this.slow), 0);

	private final StreamOutputs.OpenStream throughSound = this.outputs.open(List.of(this.shared, this.sound), 0);

	private long nowMillis;

	/** Guards against an engine that serves at a third of its pace and says nothing. */
	@Test
	void slowEngineIsFoundWithinASecondAndTheSharedOneIsNot() {
		run(3_000, 20, 20);
		assertThat(slowdown(this.slow)).isEqualTo(1);
		run(1_000, 60, 20);
		assertThat(slowdown(this.slow)).isBetween(2.0, 3.5);
		assertThat(slowdown(this.shared)).isEqualTo(1);
		assertThat(slowdown(this.sound)).isEqualTo(1);
	}

	/** Guards against an engine that never gets its share back. */
	@Test
	void engineAtItsOldPaceOrWithoutStreamsIsNotSlow() {
		run(3_000, 20, 20);
		run(1_000, 60, 20);
		run(1_000, 20, 20);
		assertThat(slowdown(this.slow)).isEqualTo(1);
		run(1_000, 60, 20);
		this.throughSlow.end();
		this.nowMillis += 1_500;
		assertThat(slowdown(this.slow)).isEqualTo(1);
	}

	/** Guards against a slow engine that counts as sound once a new path uses it. */
	@Test
	void newPathThroughSlowEngineDoesNotEndTheVerdict() {
		run(3_000, 20, 20);
		run(1_000, 60, 20);
		Replica other = TestReplicas.engine("other", "ghent", "fast", 0, 5);
		StreamOutputs.OpenStream added = this.outputs.open(List.of(other, this.slow),
				TimeUnit.MILLISECONDS.toNanos(this.nowMillis));
		for (int pass = 0; pass < 10; pass++) {
			run(60, 60, 20);
			added.recordOutput(TimeUnit.MILLISECONDS.toNanos(this.nowMillis));
			assertThat(slowdown(this.slow)).isBetween(2.0, 3.5);
		}
	}

	/** Guards against verdicts from the tokens of one pass, which come together. */
	@Test
	void tokensOfOnePassCountOnce() {
		run(3_000, 20, 20);
		for (int pass = 0; pass < 60; pass++) {
			this.nowMillis += 20;
			for (int token = 0; token < 3; token++) {
				this.throughSlow.recordOutput(TimeUnit.MILLISECONDS.toNanos(this.nowMillis) + token * 100_000L);
			}
		}
		assertThat(slowdown(this.slow)).isEqualTo(1);
	}

	private double slowdown(Replica engine) {
		return this.pace.slowdown(engine, TimeUnit.MILLISECONDS.toNanos(this.nowMillis));
	}

	private void run(long millis, long slowPassMillis, long soundPassMillis) {
		long endMillis = this.nowMillis + millis;
		for (; this.nowMillis < endMillis; this.nowMillis += 10) {
			long nowNanos = TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
			if (this.nowMillis % slowPassMillis == 0) {
				this.throughSlow.recordOutput(nowNanos);
			}
			if (this.nowMillis % soundPassMillis == 0) {
				this.throughSound.recordOutput(nowNanos);
			}
		}
	}

}
