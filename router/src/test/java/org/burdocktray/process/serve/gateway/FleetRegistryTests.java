package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.serve.gateway.FleetRegistry.RegisteredVm;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how the entries of VMs are read.
 */
class FleetRegistryTests {

	private static final long TIMEOUT_SECONDS = 10;

	private static final NetworkAddress ADDRESS = new NetworkAddress("10.0.0.1", 7340);

	private static final RegisteredVm SELF = new RegisteredVm("vm-0", new DataCentre("ghent"), Optional.of(ADDRESS));

	private final Vertx vertx = Vertx.vertx();

	private final List<String> calls = new CopyOnWriteArrayList<>();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * Guards against VMs that never learn of others, since one entry of another writer
	 * ended the periodic listing.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "{\"address\":null,\"dataCentre\":null}", "{\"address\":7}", "{}", "null", "[]", "\"\"",
			"7", "{\"address\":{}}" })
	void entryOfAnotherWriterIsOnlyCounted(String value) throws Exception {
		assertThat(listWith(value)).contains(new RegisteredVm("vm-0", new DataCentre("ghent"), Optional.of(ADDRESS)))
			.contains(new RegisteredVm("foreign", new DataCentre(""), Optional.empty()));
	}

	@Test
	void longTextsAreNotKept() throws Exception {
		String text = "[" + ":".repeat(1 << 20);
		assertThat(listWith("{\"address\":\"" + text + "\",\"dataCentre\":\"" + text + "\"}"))
			.contains(new RegisteredVm("foreign", new DataCentre(""), Optional.empty()));
	}

	/** Guards against VMs that restart elsewhere and stay registered as they were. */
	@Test
	void entryOfAnEarlierStartIsReplaced() throws Exception {
		FakeStore store = new FakeStore("{}");
		store.objects
			.add(new StoredObject("burdocktray-vms/vm-0", 7, "{\"dataCentre\":\"old\",\"address\":\"10.0.0.9:7340\"}"));
		assertThat(listWith(store)).contains(new RegisteredVm("vm-0", new DataCentre("ghent"), Optional.of(ADDRESS)));
		assertThat(store.updates).isEqualTo(1);
		listWith(store);
		assertThat(store.updates).as("an entry that is right is not written").isEqualTo(1);
	}

	/**
	 * Guards against VMs that share limits with too few others, since the copy from which
	 * the store has returned lacks registrations.
	 */
	@Test
	void vmRegistersAgainWhenTheStoreReturnsFromACopy() throws Exception {
		FakeStore store = new FakeStore("{}");
		Queue<List<RegisteredVm>> lists = new ConcurrentLinkedQueue<>();
		FleetRegistry registry = new FleetRegistry(this.vertx, store, store, SELF, lists::add, (vms) -> {
		});
		this.vertx.getOrCreateContext().runOnContext((now) -> registry.start());
		await(() -> !lists.isEmpty());
		CompletableFuture<Void> restored = new CompletableFuture<>();
		this.vertx.getOrCreateContext().runOnContext((now) -> {
			store.objects.clear();
			lists.clear();
			registry.onStoreRestored();
			registry.refresh();
			restored.complete(null);
		});
		restored.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		await(() -> store.objects.stream().anyMatch((object) -> object.key().endsWith("/vm-0")));
		await(() -> !lists.isEmpty());
		assertThat(lists.peek()).as("known VMs count until they have registered again")
			.extracting(RegisteredVm::name)
			.containsExactlyInAnyOrder("foreign", "vm-0");
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean() && System.nanoTime() - endNanos < 0) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	/**
	 * Guards against VMs that passed over the questions of a VM that was cut off, since
	 * they read the addresses of others only a second after their registration.
	 */
	@Test
	void addressesAreKnownBeforeTheFirstPeriodicList() throws Exception {
		listWith("{}");
		assertThat(this.calls).startsWith("addresses", "addresses", "vms");
	}

	private List<RegisteredVm> listWith(String foreignValue) throws Exception {
		return listWith(new FakeStore(foreignValue));
	}

	private List<RegisteredVm> listWith(FakeStore store) throws Exception {
		CompletableFuture<List<RegisteredVm>> listed = new CompletableFuture<>();
		FleetRegistry registry = new FleetRegistry(this.vertx, store, store, SELF, (vms) -> this.calls.add("addresses"),
				(vms) -> {
					this.calls.add("vms");
					listed.complete(vms);
				});
		this.vertx.getOrCreateContext().runOnContext((now) -> registry.start());
		return listed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private static final class FakeStore implements PlatformStore, ChangeFeed {

		private final List<StoredObject> objects = new CopyOnWriteArrayList<>();

		private int updates;

		private FakeStore(String foreignValue) {
			this.objects.add(new StoredObject("burdocktray-vms/foreign", 1, foreignValue));
		}

		@Override
		public Single<Either<StoreError, Optional<StoredObject>>> read(String key) {
			return Single.just(Either.right(find(key)));
		}

		@Override
		public Single<Either<StoreError, List<StoredObject>>> list(String prefix) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Single<Either<StoreError, ObjectListing>> listObjects(String kind) {
			return Single.just(Either.right(new ObjectListing(this.objects.stream()
				.map((object) -> new StoredObject(object.key().substring(kind.length() + 1), object.version(),
						object.value()))
				.toList(), StoreRevision.of(2))));
		}

		@Override
		public Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, StoreRevision afterRevision,
				long waitMillis) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Single<Either<StoreError, StoredObject>> create(String key, String value) {
			if (find(key).isPresent()) {
				return Single.just(Either.left(StoreError.CONFLICT));
			}
			StoredObject created = new StoredObject(key, 2, value);
			this.objects.add(created);
			return Single.just(Either.right(created));
		}

		@Override
		public Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion,
				String value) {
			this.updates++;
			StoredObject updated = new StoredObject(key, expectedVersion.number() + 1, value);
			this.objects.replaceAll((object) -> (object.key().equals(key) && object.version().equals(expectedVersion))
					? updated : object);
			return Single.just(Either.right(updated));
		}

		private Optional<StoredObject> find(String key) {
			return this.objects.stream().filter((object) -> object.key().equals(key)).findFirst();
		}

		@Override
		public Flowable<StoredObject> watch(String prefix, long afterVersion) {
			return Flowable.never();
		}

	}

}
