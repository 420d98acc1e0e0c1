package org.burdocktray.process.pressure;

import java.util.concurrent.TimeUnit;
import java.util.function.IntToDoubleFunction;

import org.burdocktray.process.settings.GatewayOptions.PressureOptions;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a state that follows each sample, and against one that its own effect
 * ends.
 */
class ResourcePressureTests {

	private static final PressureOptions OPTIONS = new PressureOptions(100, 0.9, 0.85, 0.8, 0.75);

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private final ResourcePressure pressure = new ResourcePressure(OPTIONS, 0);

	private long nowNanos;

	@Test
	void doesNotFlapWhenLoadVariesAroundTheThreshold() {
		assertThat(run(2_400, 0, 0, (step) -> 0.8 + 0.12 * Math.sin(step / 3.0))).isLessThanOrEqualTo(1);
	}

	@Test
	void keepsEachStateForItsMinimumTimeWhenLoadSwings() {
		int changes = run(2_400, 0, 0, (step) -> (step % 16 < 8) ? 1.6 : 0);
		assertThat(changes).isLessThanOrEqualTo(2 * 600 / 4 + 1);
	}

	@Test
	void oneLongPauseIsNoPressure() {
		assertThat(run(20, 0, 0, (step) -> 0.1)).isZero();
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(1_500);
		ResourceSample pause = new ResourceSample(1_500, 0.1, 0.1, 0.1);
		assertThat(this.pressure.record(pause, 0, 0, this.nowNanos)).isFalse();
		assertThat(run(20, 0, 0, (step) -> 0.1)).isZero();
	}

	@Test
	void staysPressedWhileRequestsThatAreHandedOverKeepTheLevelLow() {
		run(40, 0, 0, (step) -> 0.9);
		assertThat(run(400, 0.4, 0, (step) -> 0.5)).isZero();
		assertThat(this.pressure.state()).isEqualTo(PressureState.PRESSED);
		run(40, 0, 0, (step) -> 0.5);
		assertThat(this.pressure.state()).isEqualTo(PressureState.NORMAL);
	}

	@Test
	void scarcestResourceDecides() {
		for (int step = 1; step <= 40; step++) {
			this.pressure.record(new ResourceSample(0, 0.1, 0.1, 0.8), 0, 0, step * STEP_NANOS);
		}
		assertThat(this.pressure.level()).isGreaterThan(0.99);
		assertThat(this.pressure.scarcestResource()).isEqualTo("link");
		assertThat(this.pressure.isRelievedByRelays()).isFalse();
	}

	/** Guards against relays that fill a link or memory that is used up already. */
	@Test
	void nothingIsHandedOverOnceTheLinkIsUsedUp() {
		for (int step = 1; step <= 40; step++) {
			this.pressure.record(new ResourceSample(120, 0, 0, 0.84), 0, 0, step * STEP_NANOS);
		}
		assertThat(this.pressure.scarcestResource()).isEqualTo("event_loop");
		assertThat(this.pressure.isRelievedByRelays()).isFalse();
	}

	private int run(int steps, double relayedShare, double rejectedShare, IntToDoubleFunction ratio) {
		int changes = 0;
		for (int step = 0; step < steps; step++) {
			this.nowNanos += STEP_NANOS;
			ResourceSample sample = new ResourceSample(100 * ratio.applyAsDouble(step), 0, 0, 0);
			changes += this.pressure.record(sample, relayedShare, rejectedShare, this.nowNanos) ? 1 : 0;
		}
		return changes;
	}

}
