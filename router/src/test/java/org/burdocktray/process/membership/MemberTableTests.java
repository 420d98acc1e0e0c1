package org.burdocktray.process.membership;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the precedence of entries and the removal of dead VMs.
 */
class MemberTableTests {

	private static final MembershipSettings SETTINGS = MembershipSettings.defaults();

	private static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(SETTINGS.retentionMillis());

	private static final Vm SELF = vm("self", 1);

	private static final Vm OTHER = vm("other", 2);

	private final MemberTable table = new MemberTable(SETTINGS, new Member(SELF, 5, MemberState.ALIVE));

	@ParameterizedTest
	@CsvSource({ "1, ALIVE, 1, SUSPECT, true", "1, SUSPECT, 1, ALIVE, false", "1, SUSPECT, 2, ALIVE, true",
			"2, ALIVE, 1, DEAD, false", "1, DEAD, 1, SUSPECT, false", "1, DEAD, 1, LEAVING, true",
			"1, LEAVING, 2, ALIVE, true", "1, ALIVE, 1, ALIVE, false" })
	void entryIsReplacedByAHigherIncarnationOrALaterState(long incarnation, MemberState state, long receivedIncarnation,
			MemberState receivedState, boolean replaced) {
		this.table.merge(new Member(OTHER, incarnation, MemberState.ALIVE), 0);
		this.table.merge(new Member(OTHER, incarnation, state), 0);
		Member received = new Member(OTHER, receivedIncarnation, receivedState);
		assertThat(this.table.merge(received, 0).isPresent()).isEqualTo(replaced);
	}

	@Test
	void refutesAReportThatItIsDead() {
		this.table.merge(new Member(SELF, 7, MemberState.DEAD), 0);
		assertThat(this.table.self()).isEqualTo(new Member(SELF, 8, MemberState.ALIVE));
	}

	@Test
	void doesNotRefuteWhileLeaving() {
		this.table.markLeaving();
		this.table.merge(new Member(SELF, 5, MemberState.DEAD), 0);
		assertThat(this.table.self()).isEqualTo(new Member(SELF, 5, MemberState.LEAVING));
	}

	@Test
	void removesADeadVmNotListedByThePlatform() {
		markOtherDead();
		this.table.updateListedVms(List.of(), RETENTION_NANOS);
		assertThat(this.table.find("other")).isEmpty();
	}

	@Test
	void keepsADeadVmListedByThePlatform() {
		markOtherDead();
		this.table.updateListedVms(List.of(OTHER), RETENTION_NANOS);
		assertThat(this.table.find("other")).isPresent();
		assertThat(this.table.reconnectAddresses(List.of())).containsExactly(OTHER.peerAddress());
	}

	@Test
	void keepsALiveVmNotListedByThePlatform() {
		this.table.merge(new Member(OTHER, 1, MemberState.ALIVE), 0);
		this.table.updateListedVms(List.of(), RETENTION_NANOS);
		assertThat(this.table.find("other")).isPresent();
	}

	@Test
	void restartsSuspicionTimeoutsAfterAPause() {
		this.table.merge(new Member(OTHER, 1, MemberState.ALIVE), 0);
		this.table.markSuspect("other", 0);
		this.table.restartSuspicions(RETENTION_NANOS);
		assertThat(this.table.expireSuspicions(RETENTION_NANOS)).isEmpty();
		assertThat(this.table.expireSuspicions(2 * RETENTION_NANOS)).hasSize(1);
	}

	private void markOtherDead() {
		this.table.merge(new Member(OTHER, 1, MemberState.ALIVE), 0);
		this.table.merge(new Member(OTHER, 1, MemberState.DEAD), 0);
	}

	private static Vm vm(String name, int host) {
		return new Vm(name, new DataCentre("ghent"), new NetworkAddress("10.0.0." + host, 7400));
	}

}
