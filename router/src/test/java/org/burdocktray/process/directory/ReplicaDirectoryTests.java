package org.burdocktray.process.directory;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaDirectoryTests {

	private static final long GRACE_NANOS = 2_000;

	private static final long SETTLE_NANOS = 3_000;

	private final ReplicaDirectory directory = new ReplicaDirectory(GRACE_NANOS);

	private final Replica first = TestReplicas.replica("first", 1);

	private final Replica second = TestReplicas.replica("second", 2);

	@Test
	void removedReplicaIsNotUsable() {
		this.directory.replaceAll(List.of(this.first, this.second), 0);
		this.directory.remove("first", 10);
		assertThat(this.directory.usable("s")).containsExactly(this.second);
		assertThat(this.directory.isUsable(this.first)).isFalse();
	}

	@Test
	void drainingReplicaIsNotUsable() {
		this.directory.replaceAll(List.of(this.first), 0);
		this.directory.put(draining(this.first), 1);
		assertThat(this.directory.usable("s")).isEmpty();
		assertThat(this.directory.isUsable(this.first)).isFalse();
	}

	@Test
	void entriesAreKeptWhileTheStoreIsUnavailable() {
		this.directory.replaceAll(List.of(this.first), 0);
		this.directory.markStoreUnavailable();
		this.directory.tick(1_000_000);
		assertThat(this.directory.usable("s")).containsExactly(this.first);
	}

	@Test
	void entryThatExpiredWhileTheStoreWasUnavailableIsKeptForTheGracePeriod() {
		this.directory.replaceAll(List.of(this.first, this.second), 0);
		this.directory.markStoreUnavailable();
		this.directory.replaceAll(List.of(this.second), 5_000);
		this.directory.tick(6_000);
		assertThat(this.directory.usable("s")).containsExactlyInAnyOrder(this.first, this.second);
		this.directory.tick(7_001);
		assertThat(this.directory.usable("s")).containsExactly(this.second);
	}

	@Test
	void entryThatIsListedAgainWithinTheGracePeriodIsKept() {
		this.directory.replaceAll(List.of(this.first), 0);
		this.directory.markStoreUnavailable();
		this.directory.replaceAll(List.of(), 5_000);
		this.directory.put(this.first, 6_000);
		this.directory.tick(9_000);
		assertThat(this.directory.usable("s")).containsExactly(this.first);
	}

	/** Guards against a copy of the store that shows a draining replica as ready. */
	@Test
	void drainingReplicaStaysSoWhenTheStoreReturnsFromACopy() {
		this.directory.replaceAll(List.of(draining(this.first), this.second), 0);
		this.directory.onStoreRestored(SETTLE_NANOS, 10);
		this.directory.replaceAll(List.of(this.first, this.second), 20);
		this.directory.tick(20 + SETTLE_NANOS);
		assertThat(this.directory.usable("s")).containsExactly(this.second);
	}

	/**
	 * Guards against a copy of the store that lists a replica which was removed. If it is
	 * listed still when the replicas have written again, it is in service.
	 */
	@Test
	void removedReplicaIsNotUsedUntilTheReturnHasSettled() {
		this.directory.replaceAll(List.of(this.first, this.second), 0);
		this.directory.remove("first", 5);
		this.directory.onStoreRestored(SETTLE_NANOS, 10);
		this.directory.replaceAll(List.of(this.first, this.second), 20);
		assertThat(this.directory.usable("s")).containsExactly(this.second);
		assertThat(this.directory.isUsable(this.first)).isFalse();
		this.directory.tick(10 + SETTLE_NANOS);
		assertThat(this.directory.usable("s")).containsExactlyInAnyOrder(this.first, this.second);
	}

	/** Guards against replicas that the copy lacks and that are taken for gone. */
	@Test
	void replicaThatTheCopyLacksIsKeptForTheGracePeriod() {
		this.directory.replaceAll(List.of(this.first, this.second), 0);
		this.directory.onStoreRestored(SETTLE_NANOS, 10);
		this.directory.replaceAll(List.of(this.second), 20);
		assertThat(this.directory.usable("s")).containsExactlyInAnyOrder(this.first, this.second);
		this.directory.tick(10 + GRACE_NANOS);
		assertThat(this.directory.usable("s")).containsExactly(this.second);
	}

	@Test
	void invalidEntryIsRemovedEvenWithinTheGracePeriod() {
		this.directory.replaceAll(List.of(this.first), 0);
		this.directory.markStoreUnavailable();
		this.directory.markStoreAvailable(5_000);
		this.directory.invalidate("first");
		assertThat(this.directory.usable("s")).isEmpty();
	}

	/**
	 * Guards against VMs that answer nobody while they read many entries: the snapshot
	 * was made anew for each entry, so that the time grew with the entries times the
	 * replicas.
	 */
	@Test
	void snapshotIsMadeAnewOnceForAGroupOfChanges() {
		this.directory.replaceAll(List.of(this.first), 0);
		Map<String, List<Replica>> before = this.directory.usable();
		this.directory.applyTogether(() -> {
			this.directory.put(this.second, 1);
			this.directory.remove("first", 1);
			assertThat(this.directory.usable()).isSameAs(before);
		});
		assertThat(this.directory.usable("s")).containsExactly(this.second);
	}

	@Test
	void invalidEntryThatNamedNoReplicaLeavesTheSnapshot() {
		this.directory.replaceAll(List.of(this.first), 0);
		Map<String, List<Replica>> before = this.directory.usable();
		this.directory.invalidate("foreign");
		assertThat(this.directory.usable()).isSameAs(before);
	}

	@Test
	void replicaWithTheLatestStartIsUsedWhenTwoHaveTheSameAddress() {
		Replica latest = new Replica("new", 9, "other", this.first.address(), new DataCentre("ghent"), 4, false,
				Optional.empty(), Optional.empty());
		this.directory.replaceAll(List.of(latest, this.first), 0);
		assertThat(this.directory.usable("s")).isEmpty();
		assertThat(this.directory.usable("other")).containsExactly(latest);
		assertThat(this.directory.findByAddress(new NetworkAddress("10.0.0.1", 1))).contains(latest);
	}

	@Test
	void restartedReplicaWithTheSameIdIsAnotherInstance() {
		this.directory.replaceAll(List.of(this.first), 0);
		Replica restarted = new Replica("first", 5, "s", this.first.address(), new DataCentre("ghent"), 4, false,
				Optional.empty(), Optional.empty());
		this.directory.put(restarted, 1);
		assertThat(this.directory.isUsable(this.first)).isFalse();
		assertThat(this.directory.isUsable(restarted)).isTrue();
	}

	private static Replica draining(Replica replica) {
		return new Replica(replica.id(), replica.startedAtMillis(), replica.service(), replica.address(),
				replica.dataCentre(), replica.slots(), true, replica.acceleratorKind(), replica.layers());
	}

}
