package org.burdocktray.process.quarantine;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which requests are suspected, isolated, quarantined and cleared.
 */
class QuarantineTests {

	private static final QuarantineSettings SETTINGS = new QuarantineSettings(3_600_000, 86_400_000, 120_000, 100,
			false);

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final Fingerprint CRASHING_REQUEST = fingerprint(1);

	private static final Fingerprint HARMLESS_REQUEST = fingerprint(2);

	private final Quarantine quarantine = new Quarantine(SETTINGS, "vm-1");

	private final Quarantine peer = new Quarantine(SETTINGS, "vm-2");

	/**
	 * Guards against VMs that answer nobody while they forget the entries of one listing,
	 * which they ranked anew for each entry beyond the limit.
	 */
	@Test
	@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
	void manyEntriesAreMergedInAboutLinearTime() {
		Gossip.Builder listing = Gossip.newBuilder();
		for (int entry = 0; entry < 20_000; entry++) {
			listing.addQuarantine(entryWithCrashes(entry, 16));
		}
		Quarantine merging = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-9");
		merging.merge(listing.build(), 0);
		assertThat(merging.table(0).getQuarantineCount())
			.isEqualTo(QuarantineSettings.sharedThroughStore().maxEntries());
	}

	private static QuarantineEntry entryWithCrashes(int entry, int crashes) {
		QuarantineEntry.Builder builder = QuarantineEntry.newBuilder()
			.setOrganisation("acme")
			.setBodyDigest(ByteString.copyFromUtf8(String.format("%032d", entry)))
			.setExpiresInMillis(60_000);
		for (int crash = 0; crash < crashes; crash++) {
			builder.addCrashes(org.burdocktray.connection.peer.generated.CrashEvidence.newBuilder()
				.setRunId("vm-" + crash + "#" + entry)
				.setUpstream("engine-" + crash)
				.setSharedBy(1));
		}
		return builder.build();
	}

	@Test
	void runsRequestThatIsNotSuspected() {
		assertThat(this.quarantine.check(CRASHING_REQUEST, 0)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void isolatesSuspectFromOtherSuspects() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST, HARMLESS_REQUEST);
		this.quarantine.recordStart(HARMLESS_REQUEST, Set.of("engine-2"), SECOND_NANOS);
		assertThat(this.quarantine.check(CRASHING_REQUEST, SECOND_NANOS))
			.isEqualTo(new QuarantineDecision.RunAlone(Set.of("engine-2")));
	}

	@Test
	void secondCrashQuarantinesOnlyRequestInvolvedInBothCrashes() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST, HARMLESS_REQUEST);
		crashWith(this.quarantine, "engine-2", SECOND_NANOS, CRASHING_REQUEST);
		assertThat(this.quarantine.check(CRASHING_REQUEST, 2 * SECOND_NANOS))
			.isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, 2 * SECOND_NANOS))
			.isInstanceOf(QuarantineDecision.RunAlone.class);
	}

	@Test
	void successfulRunClearsSuspect() {
		crashWith(this.quarantine, "engine-1", 0, HARMLESS_REQUEST);
		String run = this.quarantine.recordStart(HARMLESS_REQUEST, Set.of("engine-2"), SECOND_NANOS);
		this.quarantine.recordEnd(run, RunOutcome.SUCCEEDED, 0);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void crashesOfTwoUpstreamsDuringOneRunCountOnce() {
		this.quarantine.recordStart(HARMLESS_REQUEST, Set.of("engine-1", "engine-2"), 0);
		this.quarantine.recordCrash("engine-1", 0);
		this.quarantine.recordCrash("engine-2", 1);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, 2)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void crashReportedByTwoVmsCountsOnce() {
		crashWith(this.quarantine, "engine-1", 0, HARMLESS_REQUEST);
		crashWith(this.peer, "engine-1", SECOND_NANOS, HARMLESS_REQUEST);
		exchange(2 * SECOND_NANOS);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, 2 * SECOND_NANOS))
			.isInstanceOf(QuarantineDecision.RunAlone.class);
	}

	@Test
	void independentCrashesReportedByTwoVmsQuarantineRequest() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		crashWith(this.peer, "engine-2", SECOND_NANOS, CRASHING_REQUEST);
		exchange(2 * SECOND_NANOS);
		assertThat(this.quarantine.check(CRASHING_REQUEST, 2 * SECOND_NANOS))
			.isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.peer.check(CRASHING_REQUEST, 2 * SECOND_NANOS)).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void waitsWhileAnotherVmRunsSuspect() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		this.quarantine.recordStart(CRASHING_REQUEST, Set.of("engine-2"), SECOND_NANOS);
		exchange(SECOND_NANOS);
		assertThat(this.peer.check(CRASHING_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void announcesRunInProgressOfRequestThatBecomesSuspect() {
		this.peer.recordStart(CRASHING_REQUEST, Set.of("engine-2"), 0);
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		exchange(SECOND_NANOS);
		assertThat(this.quarantine.check(CRASHING_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void olderGossipDoesNotRevokeClearance() {
		crashWith(this.quarantine, "engine-1", 0, HARMLESS_REQUEST);
		Gossip old = this.quarantine.table(0);
		String run = this.quarantine.recordStart(HARMLESS_REQUEST, Set.of("engine-2"), SECOND_NANOS);
		this.quarantine.recordEnd(run, RunOutcome.SUCCEEDED, 0);
		this.quarantine.merge(old, 2 * SECOND_NANOS);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, 2 * SECOND_NANOS))
			.isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void removesEntryAfterQuarantineHasEnded() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		crashWith(this.quarantine, "engine-2", SECOND_NANOS, CRASHING_REQUEST);
		long after = SECOND_NANOS + TimeUnit.MILLISECONDS.toNanos(SETTINGS.quarantineMillis());
		assertThat(this.quarantine.check(CRASHING_REQUEST, after - 1)).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.quarantine.check(CRASHING_REQUEST, after)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void receivingQuarantinedEntryDoesNotExtendIt() {
		long quarantineNanos = TimeUnit.MILLISECONDS.toNanos(SETTINGS.quarantineMillis());
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		crashWith(this.quarantine, "engine-2", 0, CRASHING_REQUEST);
		this.peer.merge(this.quarantine.table(quarantineNanos / 2), quarantineNanos / 2);
		assertThat(this.peer.check(CRASHING_REQUEST, quarantineNanos - 1))
			.isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.peer.check(CRASHING_REQUEST, quarantineNanos)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void keepsQuarantinedEntryWhenThereAreTooManySuspects() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		crashWith(this.quarantine, "engine-2", SECOND_NANOS, CRASHING_REQUEST);
		for (int suspect = 0; suspect < 10 * SETTINGS.maxEntries(); suspect++) {
			crashWith(this.quarantine, "engine-" + suspect, 2 * SECOND_NANOS, fingerprint(100 + suspect));
		}
		assertThat(this.quarantine.table(3 * SECOND_NANOS).getQuarantineCount()).isEqualTo(SETTINGS.maxEntries());
		assertThat(this.quarantine.check(CRASHING_REQUEST, 3 * SECOND_NANOS))
			.isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void returnsQuarantinedEntryForStoreOnce() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		assertThat(this.quarantine.takeEntriesToStore(8, 0)).isEmpty();
		crashWith(this.quarantine, "engine-2", SECOND_NANOS, CRASHING_REQUEST);
		assertThat(this.quarantine.takeEntriesToStore(8, SECOND_NANOS)).hasSize(1);
		assertThat(this.quarantine.takeEntriesToStore(8, SECOND_NANOS)).isEmpty();
	}

	/** Copies of a sound, frequent request that were in two crashes stayed refused. */
	@Test
	void successOfCopyClearsQuarantinedRequest() {
		String copy = this.quarantine.recordStart(HARMLESS_REQUEST, Set.of("engine-3"), 0);
		crashWith(this.quarantine, "engine-1", 0, HARMLESS_REQUEST);
		crashWith(this.quarantine, "engine-2", 0, HARMLESS_REQUEST);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, 0)).isInstanceOf(QuarantineDecision.Refuse.class);
		this.quarantine.recordEnd(copy, RunOutcome.SUCCEEDED, 0);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, 0)).isInstanceOf(QuarantineDecision.Run.class);
	}

	/**
	 * Streams in progress became suspects whenever an engine crashed for another reason.
	 */
	@Test
	void crashUnderHarmlessRunIsNoEvidence() {
		String run = this.quarantine.recordStart(HARMLESS_REQUEST, Set.of("engine-1"), 0);
		this.quarantine.recordHarmless(run, 0);
		assertThat(this.quarantine.recordCrash("engine-1", SECOND_NANOS)).isZero();
		this.quarantine.recordEnd(run, RunOutcome.ENDED, SECOND_NANOS);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void waitsWhileTwoLossesAreChecked() {
		String first = this.quarantine.recordStart(CRASHING_REQUEST, Set.of("engine-1"), 0);
		this.quarantine.recordLoss(first);
		assertThat(this.quarantine.check(CRASHING_REQUEST, 0)).isInstanceOf(QuarantineDecision.Run.class);
		String second = this.quarantine.recordStart(CRASHING_REQUEST, Set.of("engine-2"), 0);
		this.quarantine.recordLoss(second);
		assertThat(this.quarantine.check(CRASHING_REQUEST, 0)).isInstanceOf(QuarantineDecision.Wait.class);
		this.quarantine.recordEnd(first, RunOutcome.ENDED, 0);
		assertThat(this.quarantine.check(CRASHING_REQUEST, 0)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void copiesLostOnOneUpstreamCountAsOneLoss() {
		for (int copy = 0; copy < 3; copy++) {
			this.quarantine.recordLoss(this.quarantine.recordStart(HARMLESS_REQUEST, Set.of("engine-1"), 0));
		}
		assertThat(this.quarantine.check(HARMLESS_REQUEST, 0)).isInstanceOf(QuarantineDecision.Run.class);
	}

	/** Each crash of an engine would write all requests that it ran to the store. */
	@Test
	void suspectThatRunsAgainIsStoredOnlyWhenItHasNotSucceeded() {
		Quarantine shared = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");
		crashWith(shared, "engine-1", 0, CRASHING_REQUEST, HARMLESS_REQUEST);
		String crashing = shared.recordStart(CRASHING_REQUEST, Set.of("engine-2"), 0);
		String harmless = shared.recordStart(HARMLESS_REQUEST, Set.of("engine-3"), 0);
		assertThat(shared.takeEntriesToStore(8, SECOND_NANOS)).isEmpty();
		shared.recordEnd(crashing, RunOutcome.ENDED, SECOND_NANOS);
		shared.recordEnd(harmless, RunOutcome.SUCCEEDED, SECOND_NANOS);
		assertThat(shared.takeEntriesToStore(8, 2 * SECOND_NANOS)).extracting(QuarantineCodec::fingerprint)
			.containsExactly(CRASHING_REQUEST);
	}

	@Test
	void suspectThatIsGivenUpIsStoredAtOnce() {
		Quarantine shared = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");
		crashWith(shared, "engine-1", 0, CRASHING_REQUEST);
		assertThat(shared.takeEntriesToStore(8, 0)).isEmpty();
		shared.recordGivenUp(RequestIdentity.withoutParts(CRASHING_REQUEST), 0);
		assertThat(shared.takeEntriesToStore(8, 0)).hasSize(1);
	}

	/** Two sound upstreams that fell silent under a request quarantined it. */
	@Test
	void requestWaitsWhileTwoSilencesAreWatched() {
		silenceWith(this.quarantine, "engine-1", 0, HARMLESS_REQUEST);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, 0)).isInstanceOf(QuarantineDecision.RunAlone.class);
		silenceWith(this.quarantine, "engine-2", SECOND_NANOS, HARMLESS_REQUEST);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void requestRunsAgainOnceSilentUpstreamResponds() {
		silenceWith(this.quarantine, "engine-1", 0, HARMLESS_REQUEST);
		silenceWith(this.quarantine, "engine-2", 0, HARMLESS_REQUEST);
		assertThat(this.quarantine.recordResponse("engine-1", SECOND_NANOS)).isEqualTo(1);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, SECOND_NANOS))
			.isInstanceOf(QuarantineDecision.RunAlone.class);
		this.quarantine.recordResponse("engine-2", SECOND_NANOS);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void confirmedSilencesQuarantineRequest() {
		silenceWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		silenceWith(this.quarantine, "engine-2", 0, CRASHING_REQUEST);
		assertThat(this.quarantine.recordCrash("engine-1", SECOND_NANOS)).isEqualTo(1);
		assertThat(this.quarantine.check(CRASHING_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Wait.class);
		this.quarantine.recordCrash("engine-2", SECOND_NANOS);
		assertThat(this.quarantine.check(CRASHING_REQUEST, SECOND_NANOS)).isEqualTo(
				new QuarantineDecision.Refuse(SECOND_NANOS + TimeUnit.MILLISECONDS.toNanos(SETTINGS.quarantineMillis()),
						QuarantineDecision.Culprit.REQUEST));
	}

	@Test
	void crashAndSilenceHoldRequestBack() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		silenceWith(this.quarantine, "engine-2", 0, CRASHING_REQUEST);
		assertThat(this.quarantine.check(CRASHING_REQUEST, 0)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void responseRevokesNoConfirmedCrash() {
		crashWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		assertThat(this.quarantine.recordResponse("engine-1", 0)).isZero();
		assertThat(this.quarantine.check(CRASHING_REQUEST, 0)).isInstanceOf(QuarantineDecision.RunAlone.class);
	}

	@Test
	void silencesAndTheirEndReachOtherVms() {
		silenceWith(this.quarantine, "engine-1", 0, HARMLESS_REQUEST);
		silenceWith(this.quarantine, "engine-2", 0, HARMLESS_REQUEST);
		exchange(0);
		assertThat(this.peer.check(HARMLESS_REQUEST, 0)).isInstanceOf(QuarantineDecision.Wait.class);
		this.quarantine.recordResponse("engine-1", SECOND_NANOS);
		this.quarantine.recordResponse("engine-2", SECOND_NANOS);
		exchange(SECOND_NANOS);
		assertThat(this.peer.check(HARMLESS_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Run.class);
	}

	/** The VM that watched the silent upstreams has ended. */
	@Test
	void silencesThatNoVmDecidesCountAsCrashes() {
		silenceWith(this.quarantine, "engine-1", 0, CRASHING_REQUEST);
		silenceWith(this.quarantine, "engine-2", 0, CRASHING_REQUEST);
		this.peer.merge(this.quarantine.table(SECOND_NANOS), SECOND_NANOS);
		long undecidedNanos = TimeUnit.MILLISECONDS.toNanos(Quarantine.UNDECIDED_MILLIS);
		assertThat(this.peer.check(CRASHING_REQUEST, undecidedNanos - 1)).isInstanceOf(QuarantineDecision.Wait.class);
		assertThat(this.peer.check(CRASHING_REQUEST, undecidedNanos)).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void decisionOnSilenceIsStoredWhileAnotherRunIsInProgress() {
		Quarantine shared = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");
		silenceWith(shared, "engine-1", 0, HARMLESS_REQUEST);
		shared.recordGivenUp(RequestIdentity.withoutParts(HARMLESS_REQUEST), 0);
		assertThat(shared.takeEntriesToStore(8, 0)).hasSize(1);
		shared.recordStart(HARMLESS_REQUEST, Set.of("engine-2"), 0);
		shared.recordResponse("engine-1", SECOND_NANOS);
		assertThat(shared.takeEntriesToStore(8, SECOND_NANOS)).hasSize(1);
	}

	/**
	 * Guards against requests that were quarantined since the links of their VM failed
	 * one after the other.
	 */
	@Test
	void whatAVmSeesWhileItIsCutOffIsNoEvidence() {
		silenceWith(this.quarantine, "engine-1", 0, HARMLESS_REQUEST);
		silenceWith(this.quarantine, "engine-2", 0, HARMLESS_REQUEST);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Wait.class);
		assertThat(this.quarantine.recordCutOff(SECOND_NANOS)).isEqualTo(2);
		assertThat(this.quarantine.check(HARMLESS_REQUEST, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void cutOffVmLeavesEvidenceOfOtherVms() {
		crashWith(this.peer, "engine-2", 0, CRASHING_REQUEST);
		silenceWith(this.peer, "engine-1", 0, CRASHING_REQUEST);
		exchange(SECOND_NANOS);
		this.quarantine.recordCutOff(SECOND_NANOS);
		this.peer.confirmSilence("engine-1", SECOND_NANOS);
		exchange(2 * SECOND_NANOS);
		assertThat(this.quarantine.check(CRASHING_REQUEST, 2 * SECOND_NANOS))
			.isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void requestHeldBackBySilencesIsStoredAtOnce() {
		Quarantine shared = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");
		silenceWith(shared, "engine-1", 0, CRASHING_REQUEST);
		assertThat(shared.takeEntriesToStore(8, 0)).isEmpty();
		silenceWith(shared, "engine-2", 0, CRASHING_REQUEST);
		assertThat(shared.takeEntriesToStore(8, 0)).hasSize(1);
	}

	private static void silenceWith(Quarantine quarantine, String upstream, long nowNanos, Fingerprint running) {
		String run = quarantine.recordStart(running, Set.of(upstream), nowNanos);
		quarantine.recordLoss(run);
		quarantine.recordSilence(upstream, nowNanos);
		quarantine.recordEnd(run, RunOutcome.ENDED, nowNanos);
	}

	private void exchange(long nowNanos) {
		this.peer.merge(this.quarantine.table(nowNanos), nowNanos);
		this.quarantine.merge(this.peer.table(nowNanos), nowNanos);
	}

	private static void crashWith(Quarantine quarantine, String upstream, long nowNanos, Fingerprint... running) {
		String[] runs = new String[running.length];
		for (int index = 0; index < running.length; index++) {
			runs[index] = quarantine.recordStart(running[index], Set.of(upstream), nowNanos);
		}
		quarantine.recordCrash(upstream, nowNanos);
		for (String run : runs) {
			quarantine.recordEnd(run, RunOutcome.ENDED, 0);
		}
	}

	private static Fingerprint fingerprint(int number) {
		return new Fingerprint("organisation", String.format("%064x", number));
	}

}
