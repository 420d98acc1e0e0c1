package org.burdocktray.process.quarantine.runs;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.process.quarantine.Fingerprint;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.QuarantineSettings;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which runs of a request count as lost.
 */
class RequestRunsTests {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final RequestIdentity REQUEST = RequestIdentity
		.withoutParts(new Fingerprint("acme", "0a".repeat(32), false));

	private final Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");

	private final RequestRuns<String> runs = new RequestRuns<>(this.quarantine, REQUEST);

	/**
	 * Guards against a request that ended four replicas: at the deadline of a call, the
	 * run that had succeeded a silent one ended without being looked into, so that the
	 * other VMs knew of one crash in two.
	 */
	@Test
	void requestThatFellSilentOnTwoReplicasRunsOnNoThirdOneThroughAnotherVm() {
		this.runs.start("desk-1", Set.of("desk-1"), 0);
		this.runs.recordLoss("desk-1").orElseThrow();
		this.quarantine.recordSilence("desk-1", 1);
		this.runs.start("desk-2", Set.of("desk-2"), 2);
		this.runs.close(3).keySet().forEach((upstream) -> this.quarantine.recordSilence(upstream, 4));
		Quarantine otherVm = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-2");
		otherVm.merge(Gossip.newBuilder().addAllQuarantine(this.quarantine.takeEntriesToStore(8, SECOND_NANOS)).build(),
				SECOND_NANOS);
		assertThat(otherVm.check(REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void requestWaitsUntilTheRunsAreResolvedThatItsEndHasLeft() {
		this.runs.start("first", Set.of("desk-1"), 0);
		Map<String, String> lost = new HashMap<>(Map.of("first", this.runs.recordLoss("first").orElseThrow()));
		this.runs.start("successor", Set.of("desk-2"), 1);
		this.runs.start("hedge", Set.of("desk-3"), 1);
		lost.putAll(this.runs.close(2));
		assertThat(lost).containsOnlyKeys("first", "successor", "hedge");
		assertThat(this.quarantine.check(REQUEST, 3)).isInstanceOf(QuarantineDecision.Wait.class);
		lost.values().forEach((runId) -> {
			assertThat(this.runs.hasUnresolvedLoss()).isTrue();
			this.quarantine.recordEnd(runId, RunOutcome.ENDED, 4);
			this.runs.recordResolved();
		});
		assertThat(this.runs.hasUnresolvedLoss()).isFalse();
		assertThat(this.quarantine.check(REQUEST, 5)).isInstanceOf(QuarantineDecision.Run.class);
	}

	/**
	 * Guards against a request that ended four replicas: evidence of one lost run was
	 * told to the other VMs only when that of the next one was complete.
	 */
	@Test
	void evidenceOfOneRunIsSharedWhileAnotherIsLookedInto() {
		this.runs.start("desk-1", Set.of("desk-1"), 0);
		this.runs.recordLoss("desk-1").orElseThrow();
		this.quarantine.recordSilence("desk-1", 1);
		this.runs.recordResolved();
		assertThat(this.runs.isGivenUp()).isFalse();
		this.runs.start("desk-2", Set.of("desk-2"), 2);
		this.runs.close(3);
		assertThat(this.runs.isGivenUp()).isTrue();
		this.quarantine.recordGivenUp(REQUEST, 4);
		assertThat(this.quarantine.takeEntriesToStore(8, 5)).singleElement()
			.satisfies((entry) -> assertThat(entry.getCrashesCount()).isEqualTo(1));
	}

	/**
	 * Guards against a sound request that is quarantined, and replicas that are probed,
	 * because its caller leaves before the response.
	 */
	@Test
	void runsOfARequestThatHasLostNoneEndWithoutEvidence() {
		this.runs.start("first", Set.of("desk-1"), 0);
		this.runs.start("hedge", Set.of("desk-2"), 1);
		assertThat(this.runs.close(2)).isEmpty();
		assertThat(this.runs.isGivenUp()).isFalse();
		assertThat(this.quarantine.check(REQUEST, 3)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void runsThatAreAnsweredHarmlessOrEndedByThisVmAreNotLost() {
		this.runs.start("harmless", Set.of("desk-1"), 0);
		this.runs.recordOutput("harmless", 1);
		this.runs.recordOutput("harmless", SECOND_NANOS);
		this.runs.start("answered", Set.of("desk-2"), 0);
		this.runs.end("answered", RunOutcome.SUCCEEDED, SECOND_NANOS);
		this.runs.start("relayed", Set.of(), 0);
		assertThat(this.runs.close(SECOND_NANOS)).isEmpty();
		RequestRuns<String> stopped = new RequestRuns<>(this.quarantine, REQUEST);
		stopped.start("stopped", Set.of("desk-3"), 0);
		stopped.endAll(SECOND_NANOS);
		assertThat(stopped.close(SECOND_NANOS)).isEmpty();
		assertThat(stopped.isGivenUp()).isFalse();
	}

}
