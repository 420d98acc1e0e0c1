package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.quarantine.Quarantine;

/**
 * Decides by the results of probes whether a replica that fell silent has crashed. A
 * sound replica may be silent for a second or so and go on. Invariant: once there is a
 * verdict it stays. Thread safety: none.
 */
final class SilentReplica {

	/** A replica that has been silent for longer has crashed. */
	static final long SOUND_SILENCE_MILLIS = 2_500;

	/** Where no replica was heard from for this long, this VM is cut off. */
	private static final long CUT_OFF_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final long silentSinceNanos;

	private Optional<Verdict> verdict = Optional.empty();

	/**
	 * Creates the state of a replica of which nothing is known but a probe without a
	 * response.
	 * @param silentSinceNanos the time at which that probe was sent
	 */
	SilentReplica(long silentSinceNanos) {
		this.silentSinceNanos = silentSinceNanos;
	}

	/**
	 * Records the result of a further probe.
	 * @param result what the replica did
	 * @param lastSignOfLifeNanos when this VM last heard from any replica
	 * @param nowNanos the time
	 * @return the verdict, empty as long as the replica may go on
	 */
	Optional<Verdict> onProbe(ReplicaProbe.Result result, long lastSignOfLifeNanos, long nowNanos) {
		if (this.verdict.isEmpty()) {
			this.verdict = decide(result, lastSignOfLifeNanos, nowNanos);
		}
		return this.verdict;
	}

	private Optional<Verdict> decide(ReplicaProbe.Result result, long lastSignOfLifeNanos, long nowNanos) {
		if (result == ReplicaProbe.Result.RESPONDS) {
			return Optional.of(Verdict.GOES_ON);
		}
		if (result == ReplicaProbe.Result.OTHER_INSTANCE) {
			return Optional.of(Verdict.CRASHED);
		}
		if (result == ReplicaProbe.Result.REFUSES) {
			return Optional.of(Verdict.REFUSES);
		}
		long silentMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.silentSinceNanos);
		boolean isUnknown = result == ReplicaProbe.Result.NOT_SENT || nowNanos - lastSignOfLifeNanos > CUT_OFF_NANOS;
		if (silentMillis >= SOUND_SILENCE_MILLIS && !isUnknown) {
			return Optional.of(Verdict.CRASHED);
		}
		return (silentMillis >= Quarantine.UNDECIDED_MILLIS) ? Optional.of(Verdict.UNKNOWN) : Optional.empty();
	}

	/**
	 * What became of a silent replica.
	 */
	enum Verdict {

		/** It responds again. */
		GOES_ON,

		/** It has crashed. */
		CRASHED,

		/** It refuses connections: it has crashed, or this VM is being cut off. */
		REFUSES,

		/** This VM is cut off, or stops, and can't tell. */
		UNKNOWN

	}

}
