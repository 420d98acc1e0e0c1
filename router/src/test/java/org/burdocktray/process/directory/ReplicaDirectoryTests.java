package org.burdocktray.process.directory;

import java.util.List;
import java.util.Optional;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaDirectoryTests {

	private static final long GRACE_NANOS = 2_000;

	private final ReplicaDirectory directory = new ReplicaDirectory(GRACE_NANOS);

	private final Replica one = TestReplicas.replica("one", 1);

	private final Replica two = TestReplicas.replica("two", 2);

	@Test
	void removedEntryGetsNoWorkAtOnce() {
		this.directory.replaceAll(List.of(this.one, this.two), 0);
		this.directory.remove("one", 10);
		assertThat(this.directory.usable("s")).containsExactly(this.two);
		assertThat(this.directory.isUsable(this.one)).isFalse();
	}

	@Test
	void drainingEntryGetsNoWork() {
		this.directory.replaceAll(List.of(this.one), 0);
		this.directory.put(draining(this.one), 1);
		assertThat(this.directory.usable("s")).isEmpty();
		assertThat(this.directory.isUsable(this.one)).isFalse();
	}

	@Test
	void entriesStayWhileTheStoreIsAway() {
		this.directory.replaceAll(List.of(this.one), 0);
		this.directory.markStoreUnavailable();
		this.directory.tick(1_000_000);
		assertThat(this.directory.usable("s")).containsExactly(this.one);
	}

	@Test
	void entryThatLapsedMeanwhileStaysUntilTheGraceEnds() {
		this.directory.replaceAll(List.of(this.one, this.two), 0);
		this.directory.markStoreUnavailable();
		this.directory.replaceAll(List.of(this.two), 5_000);
		this.directory.tick(6_000);
		assertThat(this.directory.usable("s")).containsExactlyInAnyOrder(this.one, this.two);
		this.directory.tick(7_001);
		assertThat(this.directory.usable("s")).containsExactly(this.two);
	}

	@Test
	void entryThatComesBackWithinTheGraceStays() {
		this.directory.replaceAll(List.of(this.one), 0);
		this.directory.markStoreUnavailable();
		this.directory.replaceAll(List.of(), 5_000);
		this.directory.put(this.one, 6_000);
		this.directory.tick(9_000);
		assertThat(this.directory.usable("s")).containsExactly(this.one);
	}

	@Test
	void invalidEntryGetsNoWorkEvenWithinTheGrace() {
		this.directory.replaceAll(List.of(this.one), 0);
		this.directory.markStoreUnavailable();
		this.directory.markStoreAvailable(5_000);
		this.directory.invalidate("one");
		assertThat(this.directory.usable("s")).isEmpty();
	}

	@Test
	void ofTwoEntriesWithOneAddressTheLaterStartIsUsed() {
		Replica reborn = new Replica("new", 9, "other", this.one.address(), new DataCentre("ghent"), 4, false,
				Optional.empty(), Optional.empty());
		this.directory.replaceAll(List.of(reborn, this.one), 0);
		assertThat(this.directory.usable("s")).isEmpty();
		assertThat(this.directory.usable("other")).containsExactly(reborn);
		assertThat(this.directory.findByAddress(new NetworkAddress("10.0.0.1", 1))).contains(reborn);
	}

	@Test
	void replicaThatStartedAgainUnderItsIdIsAnother() {
		this.directory.replaceAll(List.of(this.one), 0);
		Replica again = new Replica("one", 5, "s", this.one.address(), new DataCentre("ghent"), 4, false,
				Optional.empty(), Optional.empty());
		this.directory.put(again, 1);
		assertThat(this.directory.isUsable(this.one)).isFalse();
		assertThat(this.directory.isUsable(again)).isTrue();
	}

	private static Replica draining(Replica replica) {
		return new Replica(replica.id(), replica.startedAtMillis(), replica.service(), replica.address(),
				replica.dataCentre(), replica.slots(), true, replica.acceleratorKind(), replica.layers());
	}

}
