package org.burdocktray.process.serve.gateway;

import java.util.concurrent.TimeUnit;

import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.serve.gateway.ReplicaProbe.Result;
import org.burdocktray.process.serve.gateway.SilentReplica.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when a silent replica counts as crashed.
 */
class SilentReplicaTests {

	private static final long SOUND_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(SilentReplica.SOUND_SILENCE_MILLIS);

	private static final long UNDECIDED_NANOS = TimeUnit.MILLISECONDS.toNanos(Quarantine.UNDECIDED_MILLIS);

	private final SilentReplica silence = new SilentReplica(0);

	@Test
	void replicaThatIsSilentForLongerThanSoundOnesHasCrashed() {
		assertThat(this.silence.onProbe(Result.SILENT, SOUND_SILENCE_NANOS - 1, SOUND_SILENCE_NANOS - 1)).isEmpty();
		assertThat(this.silence.onProbe(Result.SILENT, SOUND_SILENCE_NANOS, SOUND_SILENCE_NANOS))
			.contains(Verdict.CRASHED);
	}

	@Test
	void replicaThatRespondsGoesOn() {
		assertThat(this.silence.onProbe(Result.RESPONDS, 1, 1)).contains(Verdict.GOES_ON);
	}

	@Test
	void replicaWhoseAddressAnotherOneHasHasCrashed() {
		assertThat(this.silence.onProbe(Result.OTHER_INSTANCE, 1, 1)).contains(Verdict.CRASHED);
	}

	/** It has crashed unless this VM is being cut off, see {@link RefusedReplicas}. */
	@Test
	void replicaThatRefusesIsLookedInto() {
		assertThat(this.silence.onProbe(Result.REFUSES, 1, 1)).contains(Verdict.REFUSES);
	}

	@Test
	void silenceOfAllReplicasShowsNothing() {
		assertThat(this.silence.onProbe(Result.SILENT, 0, SOUND_SILENCE_NANOS)).isEmpty();
		assertThat(this.silence.onProbe(Result.SILENT, 0, UNDECIDED_NANOS)).contains(Verdict.UNKNOWN);
	}

	@Test
	void probeThatWasNotSentIsNoSilence() {
		assertThat(this.silence.onProbe(Result.NOT_SENT, SOUND_SILENCE_NANOS, SOUND_SILENCE_NANOS)).isEmpty();
	}

	@Test
	void verdictStays() {
		this.silence.onProbe(Result.RESPONDS, 1, 1);
		assertThat(this.silence.onProbe(Result.REFUSES, 2, 2)).contains(Verdict.GOES_ON);
	}

}
