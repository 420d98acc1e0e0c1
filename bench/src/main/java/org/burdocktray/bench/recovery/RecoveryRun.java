package org.burdocktray.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.burdocktray.bench.membership.VirtualClock;

/**
 * Simulates streams whose second stage fails at the same time. Each engine processes one
 * prefill after another. Thread safety: none.
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
		double[] pauseSeconds = streams.stream()
			.mapToDouble((stream) -> stream.longestPauseNanos() / NANOS_PER_SECOND)
			.toArray();
		return new StreamPauses(pauseSeconds, streams.stream().mapToInt(RecoveringStream::wrongTokens).sum());
	}

	VirtualClock clock() {
		return this.clock;
	}

	RecoveryScenario scenario() {
		return this.scenario;
	}

	/**
	 * Returns the engine that replaces the failed one for a stream. Streams are
	 * distributed evenly; index 0 is the engine that fails.
	 * @param stream the index of the stream
	 * @return the index of the replacement, from 1
	 */
	int replacementOf(int stream) {
		return stream % this.scenario.replacementCount() + 1;
	}

	/**
	 * Schedules the prefill of known tokens at the stages that have not processed them.
	 * @param engines the index of the engine at each stage; negative for a stage that has
	 * kept its outputs
	 * @param tokens the number of tokens
	 * @return the time from now until completion in nanoseconds
	 */
	long schedulePrefill(int[] engines, int tokens) {
		long transferNanos = toNanos(tokens * (double) ACTIVATION_BYTES / this.scenario.linkBytesPerSecond());
		long completionNanos = this.clock.nowNanos();
		for (int stage = 0; stage < STAGE_COUNT; stage++) {
			completionNanos += (stage > 0) ? transferNanos : 0;
			if (engines[stage] < 0) {
				continue;
			}
			long startNanos = Math.max(completionNanos, this.prefillFreeAtNanos[stage][engines[stage]]);
			completionNanos = startNanos + toNanos(tokens / this.scenario.prefillTokensPerSecond());
			this.prefillFreeAtNanos[stage][engines[stage]] = completionNanos;
		}
		return completionNanos - this.clock.nowNanos();
	}

	private static long toNanos(double seconds) {
		return (long) (seconds * NANOS_PER_SECOND);
	}

}
