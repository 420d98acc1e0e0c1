package org.burdocktray.process.quarantine;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that entries survive the VMs that wrote them.
 */
class QuarantineStoreTests {

	private static final Fingerprint CRASHING_REQUEST = new Fingerprint("Yankı", "ab".repeat(32));

	private static final long QUARANTINE_MILLIS = QuarantineSettings.defaults().quarantineMillis();

	private final FakeStore store = new FakeStore();

	private long wallClockMillis = 1_000;

	@Test
	void newVmLoadsEntriesOfEarlierVm() {
		saveQuarantined();
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	/** Guards against requests that crash further replicas, since a copy lacks them. */
	@Test
	void entryThatTheCopyOfTheStoreLacksIsWrittenAgain() {
		QuarantineStore writer = saveQuarantined();
		this.store.objects.clear();
		writer.onStoreRestored();
		List<QuarantineEntry> entries = writer.takeEntries();
		assertThat(entries).hasSize(1);
		assertThat(writer.save(entries).blockingGet()).isFalse();
		assertThat(writer.save(writer.takeEntries()).blockingGet()).isTrue();
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void expiredEntryIsNotLoaded() {
		saveQuarantined();
		this.wallClockMillis += QUARANTINE_MILLIS;
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void laterEntryReplacesEarlierOne() {
		saveQuarantined();
		this.wallClockMillis += QUARANTINE_MILLIS / 2;
		saveQuarantined();
		this.wallClockMillis += QUARANTINE_MILLIS / 2;
		assertThat(this.store.objects).hasSize(1);
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void unreadableEntryIsSkipped() {
		saveQuarantined();
		this.store.create("quarantine/0", "not an entry");
		this.store.create("quarantine/1", "99999999999 !");
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	/**
	 * Guards against VMs that run out of memory by entries as large as a value of the
	 * store may be: the quarantine keeps the texts of thousands of entries.
	 */
	@Test
	void entryThatIsFarLargerThanThoseOfVmsIsNotKept() {
		QuarantineEntry large = QuarantineEntry.newBuilder()
			.setOrganisation("a".repeat(700_000))
			.setBodyDigest(ByteString.copyFrom(new byte[32]))
			.addCrashes(org.burdocktray.connection.peer.generated.CrashEvidence.newBuilder()
				.setRunId("vm-3#1")
				.setUpstream("engine-1"))
			.build();
		this.store.create("quarantine/2", "99999999999 " + Base64.getEncoder().encodeToString(large.toByteArray()));
		Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-2");
		quarantineStore(quarantine).load().blockingAwait();
		assertThat(quarantine.table(0).getQuarantineList()).isEmpty();
	}

	@Test
	void entryWithManyCrashesAndLongNamesIsKept() {
		Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), "v".repeat(80));
		for (int crash = 0; crash < 40; crash++) {
			addCrashes(quarantine, CRASHING_REQUEST, "e".repeat(80) + crash);
		}
		QuarantineStore quarantineStore = quarantineStore(quarantine);
		quarantineStore.save(quarantineStore.takeEntries()).blockingGet();
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void unavailableStoreLeavesQuarantineEmpty() {
		this.store.unavailable = true;
		saveQuarantined();
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void entryWhoseWriteFailedIsWrittenAgain() {
		Quarantine quarantine = quarantineWithCrashes("vm-1", "engine-1", "engine-2");
		QuarantineStore quarantineStore = quarantineStore(quarantine);
		this.store.unavailable = true;
		assertThat(quarantineStore.save(quarantineStore.takeEntries()).blockingGet()).isFalse();
		this.store.unavailable = false;
		assertThat(quarantineStore.save(quarantineStore.takeEntries()).blockingGet()).isTrue();
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	/**
	 * Guards against entries that were forgotten because the write of one before them
	 * failed.
	 */
	@Test
	void entriesBehindOneWhoseWriteFailedAreWrittenAgain() {
		Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");
		for (String body : List.of("01", "02", "03")) {
			addCrashes(quarantine, new Fingerprint("acme", body), "engine-1", "engine-2");
		}
		QuarantineStore quarantineStore = quarantineStore(quarantine);
		this.store.unavailable = true;
		assertThat(quarantineStore.save(quarantineStore.takeEntries()).blockingGet()).isFalse();
		this.store.unavailable = false;
		assertThat(quarantineStore.save(quarantineStore.takeEntries()).blockingGet()).isTrue();
		assertThat(this.store.objects).hasSize(3);
	}

	/** The entry of the VM that wrote last replaced what the other had seen. */
	@Test
	void entriesOfTwoVmsAreMerged() {
		for (String vm : List.of("vm-1", "vm-2")) {
			Quarantine quarantine = quarantineWithCrashes(vm, "engine-of-" + vm);
			quarantine.recordGivenUp(RequestIdentity.withoutParts(CRASHING_REQUEST), 0);
			QuarantineStore quarantineStore = quarantineStore(quarantine);
			quarantineStore.save(quarantineStore.takeEntries()).blockingGet();
		}
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	/** Each call to the store is priced. */
	@Test
	void changeOfKnownEntryTakesOneCall() {
		Quarantine quarantine = quarantineWithCrashes("vm-1", "engine-1", "engine-2");
		QuarantineStore quarantineStore = quarantineStore(quarantine);
		quarantineStore.save(quarantineStore.takeEntries()).blockingGet();
		addCrashes(quarantine, CRASHING_REQUEST, "engine-3");
		this.store.calls = 0;
		assertThat(quarantineStore.save(quarantineStore.takeEntries()).blockingGet()).isTrue();
		assertThat(this.store.calls).isEqualTo(1);
	}

	/** The store may come back from an older copy. */
	@Test
	void entryThatTheStoreHasLostIsWrittenAgain() {
		Quarantine quarantine = quarantineWithCrashes("vm-1", "engine-1", "engine-2");
		QuarantineStore quarantineStore = quarantineStore(quarantine);
		quarantineStore.save(quarantineStore.takeEntries()).blockingGet();
		this.store.objects.clear();
		addCrashes(quarantine, CRASHING_REQUEST, "engine-3");
		assertThat(quarantineStore.save(quarantineStore.takeEntries()).blockingGet()).isFalse();
		assertThat(quarantineStore.save(quarantineStore.takeEntries()).blockingGet()).isTrue();
		assertThat(loadAndCheck()).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	/** What another VM has stored meanwhile is merged, not overwritten. */
	@Test
	void entryThatAnotherVmHasChangedIsMerged() {
		Quarantine first = quarantineWithCrashes("vm-1", "engine-1", "engine-2");
		QuarantineStore firstStore = quarantineStore(first);
		firstStore.save(firstStore.takeEntries()).blockingGet();
		Quarantine second = quarantineWithCrashes("vm-2", "engine-3", "engine-4");
		QuarantineStore secondStore = quarantineStore(second);
		assertThat(secondStore.save(secondStore.takeEntries()).blockingGet()).isTrue();
		addCrashes(first, CRASHING_REQUEST, "engine-5");
		assertThat(firstStore.save(firstStore.takeEntries()).blockingGet()).isTrue();
		assertThat(first.entry(CRASHING_REQUEST, 0).orElseThrow().getCrashesList()).hasSizeGreaterThanOrEqualTo(5);
	}

	private static Quarantine quarantineWithCrashes(String vm, String... upstreams) {
		Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), vm);
		addCrashes(quarantine, CRASHING_REQUEST, upstreams);
		return quarantine;
	}

	private static void addCrashes(Quarantine quarantine, Fingerprint request, String... upstreams) {
		for (String upstream : upstreams) {
			String run = quarantine.recordStart(request, Set.of(upstream), 0);
			quarantine.recordCrash(upstream, 0);
			quarantine.recordEnd(run, RunOutcome.ENDED, 0);
		}
	}

	private QuarantineStore saveQuarantined() {
		Quarantine quarantine = new Quarantine(QuarantineSettings.defaults(), "vm-1");
		for (String upstream : List.of("engine-1", "engine-2")) {
			String run = quarantine.recordStart(CRASHING_REQUEST, Set.of(upstream), 0);
			quarantine.recordCrash(upstream, 0);
			quarantine.recordEnd(run, RunOutcome.ENDED, 0);
		}
		QuarantineStore quarantineStore = quarantineStore(quarantine);
		quarantineStore.save(quarantineStore.takeEntries()).blockingGet();
		return quarantineStore;
	}

	private QuarantineDecision loadAndCheck() {
		Quarantine quarantine = new Quarantine(QuarantineSettings.defaults(), "vm-2");
		quarantineStore(quarantine).load().blockingAwait();
		return quarantine.check(CRASHING_REQUEST, 0);
	}

	private QuarantineStore quarantineStore(Quarantine quarantine) {
		return new QuarantineStore(quarantine, QuarantineStore.ValueFormat.plainText(), this.store, () -> 0,
				() -> this.wallClockMillis);
	}

	private static final class FakeStore implements PlatformStore {

		private final Map<String, StoredObject> objects = new TreeMap<>();

		private boolean unavailable;

		private int calls;

		@Override
		public Single<Either<StoreError, Optional<StoredObject>>> read(String key) {
			this.calls++;
			return Single.just(Either.right(Optional.ofNullable(this.objects.get(key))));
		}

		@Override
		public Single<Either<StoreError, List<StoredObject>>> list(String prefix) {
			return Single.just(this.unavailable ? Either.left(StoreError.UNAVAILABLE)
					: Either.right(new ArrayList<>(this.objects.values())));
		}

		@Override
		public Single<Either<StoreError, StoredObject>> create(String key, String value) {
			this.calls++;
			if (this.unavailable) {
				return Single.just(Either.left(StoreError.UNAVAILABLE));
			}
			if (this.objects.containsKey(key)) {
				return Single.just(Either.left(StoreError.CONFLICT));
			}
			return put(key, 1, value);
		}

		@Override
		public Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion,
				String value) {
			this.calls++;
			if (!this.objects.containsKey(key)) {
				return Single.just(Either.left(StoreError.NOT_FOUND));
			}
			if (!this.objects.get(key).version().equals(expectedVersion)) {
				return Single.just(Either.left(StoreError.CONFLICT));
			}
			return put(key, expectedVersion.number() + 1, value);
		}

		@Override
		public Flowable<StoredObject> watch(String prefix, long afterVersion) {
			return Flowable.never();
		}

		private Single<Either<StoreError, StoredObject>> put(String key, long version, String value) {
			this.objects.put(key, new StoredObject(key, version, value));
			return Single.just(Either.right(this.objects.get(key)));
		}

	}

}
