package org.burdocktray.process.quarantine;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.peer.generated.Gossip;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which requests are suspected, run apart, quarantined and cleared.
 */
class QuarantineTests {

	private static final QuarantineSettings SETTINGS = new QuarantineSettings(3_600_000, 86_400_000, 120_000, 100);

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final Fingerprint CULPRIT = fingerprint(1);

	private static final Fingerprint BYSTANDER = fingerprint(2);

	private final Quarantine quarantine = new Quarantine(SETTINGS, "vm-1");

	private final Quarantine peer = new Quarantine(SETTINGS, "vm-2");

	@Test
	void runsAnUnknownRequest() {
		assertThat(this.quarantine.check(CULPRIT, 0)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void runsASuspectApartFromOtherSuspects() {
		crashWith(this.quarantine, "engine-1", 0, CULPRIT, BYSTANDER);
		this.quarantine.recordStart(BYSTANDER, Set.of("engine-2"), SECOND_NANOS);
		assertThat(this.quarantine.check(CULPRIT, SECOND_NANOS))
			.isEqualTo(new QuarantineDecision.RunAlone(Set.of("engine-2")));
	}

	@Test
	void aSecondCrashQuarantinesTheCulpritButNotTheBystander() {
		crashWith(this.quarantine, "engine-1", 0, CULPRIT, BYSTANDER);
		crashWith(this.quarantine, "engine-2", SECOND_NANOS, CULPRIT);
		assertThat(this.quarantine.check(CULPRIT, 2 * SECOND_NANOS)).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.quarantine.check(BYSTANDER, 2 * SECOND_NANOS)).isInstanceOf(QuarantineDecision.RunAlone.class);
	}

	@Test
	void aSuccessClearsASuspect() {
		crashWith(this.quarantine, "engine-1", 0, BYSTANDER);
		String run = this.quarantine.recordStart(BYSTANDER, Set.of("engine-2"), SECOND_NANOS);
		this.quarantine.recordEnd(run, RunOutcome.SUCCEEDED);
		assertThat(this.quarantine.check(BYSTANDER, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void twoUpstreamsOfOneRunThatCrashTogetherCountOnce() {
		this.quarantine.recordStart(BYSTANDER, Set.of("engine-1", "engine-2"), 0);
		this.quarantine.recordCrash("engine-1", 0);
		this.quarantine.recordCrash("engine-2", 1);
		assertThat(this.quarantine.check(BYSTANDER, 2)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void oneCrashSeenByTwoVmsCountsOnce() {
		crashWith(this.quarantine, "engine-1", 0, BYSTANDER);
		crashWith(this.peer, "engine-1", SECOND_NANOS, BYSTANDER);
		exchange(2 * SECOND_NANOS);
		assertThat(this.quarantine.check(BYSTANDER, 2 * SECOND_NANOS)).isInstanceOf(QuarantineDecision.RunAlone.class);
	}

	@Test
	void crashesOnTwoVmsAddUp() {
		crashWith(this.quarantine, "engine-1", 0, CULPRIT);
		crashWith(this.peer, "engine-2", SECOND_NANOS, CULPRIT);
		exchange(2 * SECOND_NANOS);
		assertThat(this.quarantine.check(CULPRIT, 2 * SECOND_NANOS)).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.peer.check(CULPRIT, 2 * SECOND_NANOS)).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void waitsWhileAnotherVmRunsTheSuspect() {
		crashWith(this.quarantine, "engine-1", 0, CULPRIT);
		this.quarantine.recordStart(CULPRIT, Set.of("engine-2"), SECOND_NANOS);
		exchange(SECOND_NANOS);
		assertThat(this.peer.check(CULPRIT, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void aRunThatTurnsOutToBeASuspectsIsAnnounced() {
		this.peer.recordStart(CULPRIT, Set.of("engine-2"), 0);
		crashWith(this.quarantine, "engine-1", 0, CULPRIT);
		exchange(SECOND_NANOS);
		assertThat(this.quarantine.check(CULPRIT, SECOND_NANOS)).isInstanceOf(QuarantineDecision.Wait.class);
	}

	@Test
	void aClearanceIsNotUndoneByOlderGossip() {
		crashWith(this.quarantine, "engine-1", 0, BYSTANDER);
		Gossip old = this.quarantine.table(0);
		String run = this.quarantine.recordStart(BYSTANDER, Set.of("engine-2"), SECOND_NANOS);
		this.quarantine.recordEnd(run, RunOutcome.SUCCEEDED);
		this.quarantine.merge(old, 2 * SECOND_NANOS);
		assertThat(this.quarantine.check(BYSTANDER, 2 * SECOND_NANOS)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void forgetsAfterTheQuarantine() {
		crashWith(this.quarantine, "engine-1", 0, CULPRIT);
		crashWith(this.quarantine, "engine-2", SECOND_NANOS, CULPRIT);
		long after = SECOND_NANOS + TimeUnit.MILLISECONDS.toNanos(SETTINGS.quarantineMillis());
		assertThat(this.quarantine.check(CULPRIT, after - 1)).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.quarantine.check(CULPRIT, after)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void hearingOfAQuarantineDoesNotProlongIt() {
		long quarantineNanos = TimeUnit.MILLISECONDS.toNanos(SETTINGS.quarantineMillis());
		crashWith(this.quarantine, "engine-1", 0, CULPRIT);
		crashWith(this.quarantine, "engine-2", 0, CULPRIT);
		this.peer.merge(this.quarantine.table(quarantineNanos / 2), quarantineNanos / 2);
		assertThat(this.peer.check(CULPRIT, quarantineNanos - 1)).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.peer.check(CULPRIT, quarantineNanos)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void keepsTheQuarantinedWhenThereAreTooManySuspects() {
		crashWith(this.quarantine, "engine-1", 0, CULPRIT);
		crashWith(this.quarantine, "engine-2", SECOND_NANOS, CULPRIT);
		for (int suspect = 0; suspect < 10 * SETTINGS.maxEntries(); suspect++) {
			crashWith(this.quarantine, "engine-" + suspect, 2 * SECOND_NANOS, fingerprint(100 + suspect));
		}
		assertThat(this.quarantine.table(3 * SECOND_NANOS).getQuarantineCount()).isEqualTo(SETTINGS.maxEntries());
		assertThat(this.quarantine.check(CULPRIT, 3 * SECOND_NANOS)).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void givesTheQuarantinedToTheStoreOnce() {
		crashWith(this.quarantine, "engine-1", 0, CULPRIT);
		assertThat(this.quarantine.takeEntriesToStore(0)).isEmpty();
		crashWith(this.quarantine, "engine-2", SECOND_NANOS, CULPRIT);
		assertThat(this.quarantine.takeEntriesToStore(SECOND_NANOS)).hasSize(1);
		assertThat(this.quarantine.takeEntriesToStore(SECOND_NANOS)).isEmpty();
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
			quarantine.recordEnd(run, RunOutcome.ENDED);
		}
	}

	private static Fingerprint fingerprint(int number) {
		return new Fingerprint("organisation", String.format("%064x", number));
	}

}
