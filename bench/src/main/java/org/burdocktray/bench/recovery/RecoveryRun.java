package org.burdocktray.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.burdocktray.bench.membership.VirtualClock;

/**
 * Streams whose second stage fails at the same moment. Each prefill server takes one
 * stream after another. Thread safety: none.
 */
final class RecoveryRun {

	static final int STAGE_COUNT = 3;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final int ACTIVATION_BYTES = 16_384;

	private static final long FAILURE_TIME_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long SIMULATED_MILLIS = 60_000;

	private final VirtualClock clock = new VirtualClock();

	private final RecoveryScenario scenario;

	private final long[][] prefillFreeAtNanos;

	RecoveryRun(RecoveryScenario scenario) {
		this.scenario = scenario;
		this.prefillFreeAtNanos = new long[STAGE_COUNT][scenario.replacementCount() + 1];
	}

	StreamPauses run() {
		Random random = new Random(this.scenario.seed());
		List<RecoveringStream> streams = new ArrayList<>();
		for (int index = 0; index < this.scenario.streamCount(); index++) {
			RecoveringStream stream = new RecoveringStream(index, this, random);
			streams.add(stream);
			stream.start();
		}
		this.clock.schedule(FAILURE_TIME_NANOS, () -> streams.forEach(RecoveringStream::failStage));
		this.clock.runForMillis(SIMULATED_MILLIS);
		double[] gaps = streams.stream()
			.mapToDouble((stream) -> stream.longestPauseNanos() / NANOS_PER_SECOND)
			.toArray();
		return new StreamPauses(gaps, streams.stream().mapToInt(RecoveringStream::wrongTokens).sum());
	}

	VirtualClock clock() {
		return this.clock;
	}

	RecoveryScenario scenario() {
		return this.scenario;
	}

	/**
	 * Chooses an engine, evenly. Index 0 is the one that fails.
	 * @param stream the index of the stream
	 * @return the index of a replacement
	 */
	int replacementOf(int stream) {
		return stream % this.scenario.replacementCount() + 1;
	}

	/**
	 * Takes known tokens in at the stages that have not run them.
	 * @param engines the index of the engine at each stage; below 0 for a stage that has
	 * kept its outputs
	 * @param tokens the tokens
	 * @return how long it takes from now, in nanoseconds
	 */
	long schedulePrefill(int[] engines, int tokens) {
		long transferNanos = toNanos(tokens * (double) ACTIVATION_BYTES / this.scenario.linkBytesPerSecond());
		long atNanos = this.clock.nowNanos();
		for (int stage = 0; stage < STAGE_COUNT; stage++) {
			atNanos += (stage > 0) ? transferNanos : 0;
			if (engines[stage] < 0) {
				continue;
			}
			long startNanos = Math.max(atNanos, this.prefillFreeAtNanos[stage][engines[stage]]);
			atNanos = startNanos + toNanos(tokens / this.scenario.prefillTokensPerSecond());
			this.prefillFreeAtNanos[stage][engines[stage]] = atNanos;
		}
		return atNanos - this.clock.nowNanos();
	}

	private static long toNanos(double seconds) {
		return (long) (seconds * NANOS_PER_SECOND);
	}

}
