package org.burdocktray.process.serve.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.jboss.logging.Logger;

/**
 * Registers this VM in the platform's store and lists the registered VMs. VMs that have
 * stopped stay listed, so that the number of VMs is never underestimated. When the store
 * returns from a copy, this VM registers again if its entry is gone, and the VMs that it
 * knew count until the others have done so. Thread safety: none, confined to one event
 * loop.
 */
final class FleetRegistry {

	private static final Logger LOGGER = Logger.getLogger(FleetRegistry.class);

	/** The kind of the registrations. */
	static final String KIND = "burdocktray-vms";

	private static final String KEY_PREFIX = KIND + "/";

	private static final String DATA_CENTRE = "dataCentre";

	private static final String ADDRESS = "address";

	private static final String CORES = "cores";

	private static final String LINK = "linkBitsPerSecond";

	/** The largest text that is kept; far more than the name of a data centre has. */
	private static final int MAX_TEXT_CHARACTERS = 1_024;

	private static final long INITIAL_INTERVAL_MILLIS = 1_000;

	private static final long MAX_INTERVAL_MILLIS = 16_000;

	/** How long the VMs take together to look for their entries after a return. */
	private static final int RESTORE_SPREAD_MILLIS = 1_000;

	/** How long VMs may take to register again after a return. */
	private static final long RESTORE_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final Vertx vertx;

	private final PlatformStore store;

	private final ChangeFeed listings;

	private final RegisteredVm ownVm;

	private final Consumer<List<RegisteredVm>> addressListener;

	private final Consumer<List<RegisteredVm>> listener;

	private long intervalMillis = INITIAL_INTERVAL_MILLIS;

	private Map<String, RegisteredVm> known = Map.of();

	/** Until when known VMs count although they are not listed. */
	private Optional<Long> restoredUntilNanos = Optional.empty();

	/**
	 * Creates a registry.
	 * @param vertx runs its timers
	 * @param store receives the entry of this VM
	 * @param listings lists the VMs
	 * @param ownVm this VM
	 * @param addressListener is told of all lists; the first comes once this VM is
	 * registered, so that it knows those that send it messages
	 * @param listener is told of the periodic lists; the first comes when VMs that start
	 * at the same time are registered as well, so that it may count them
	 */
	FleetRegistry(Vertx vertx, PlatformStore store, ChangeFeed listings, RegisteredVm ownVm,
			Consumer<List<RegisteredVm>> addressListener, Consumer<List<RegisteredVm>> listener) {
		this.vertx = vertx;
		this.store = store;
		this.listings = listings;
		this.ownVm = ownVm;
		this.addressListener = addressListener;
		this.listener = listener;
	}

	void start() {
		String key = ownKey();
		String value = ownValue();
		this.store.create(key, value)
			.flatMap((created) -> isConflict(created) ? replace(key, value) : Single.just(created))
			.subscribe((result) -> {
				result.peek((registered) -> refresh()).peekLeft(this::logFailure);
				this.vertx.setTimer(INITIAL_INTERVAL_MILLIS, (timer) -> {
					if (result.isRight()) {
						list();
					}
					else {
						start();
					}
				});
			});
	}

	/** Handles that the store has returned from a copy. */
	void onStoreRestored() {
		this.restoredUntilNanos = Optional.of(System.nanoTime() + RESTORE_NANOS);
		// All VMs learn of the return at about the same time.
		int delayMillis = 1 + Math.floorMod(this.ownVm.name().hashCode(), RESTORE_SPREAD_MILLIS);
		this.vertx.setTimer(delayMillis, (timer) -> registerAgain());
	}

	private void registerAgain() {
		String key = ownKey();
		String value = ownValue();
		replace(key, value)
			.flatMap((replaced) -> isMissing(replaced) ? this.store.create(key, value) : Single.just(replaced))
			.subscribe((result) -> result.peekLeft((error) -> {
				logFailure(error);
				this.vertx.setTimer(INITIAL_INTERVAL_MILLIS, (timer) -> registerAgain());
			}));
	}

	private String ownKey() {
		return KEY_PREFIX + this.ownVm.name();
	}

	private String ownValue() {
		return new JsonObject().put(DATA_CENTRE, this.ownVm.dataCentre().name())
			.put(ADDRESS, this.ownVm.address().map(NetworkAddress::toString).orElse(""))
			.put(CORES, this.ownVm.cores())
			.put(LINK, this.ownVm.linkBitsPerSecond())
			.encode();
	}

	private void logFailure(StoreError error) {
		LOGGER.warnf("VM registration failed, retrying: vm=%s error=%s", ownKey(), error);
	}

	private static boolean isMissing(Either<StoreError, StoredObject> result) {
		return result.isLeft() && result.getLeft() == StoreError.NOT_FOUND;
	}

	private static boolean isConflict(Either<StoreError, StoredObject> result) {
		return result.isLeft() && result.getLeft() == StoreError.CONFLICT;
	}

	// The entry of an earlier start may have another address, data centre or size.
	private Single<Either<StoreError, StoredObject>> replace(String key, String value) {
		return this.store.read(key).flatMap((read) -> {
			if (read.isLeft()) {
				return Single.just(Either.left(read.getLeft()));
			}
			Optional<StoredObject> known = read.get();
			if (known.isEmpty()) {
				return Single.just(Either.left(StoreError.NOT_FOUND));
			}
			if (known.get().value().equals(value)) {
				return Single.just(Either.right(known.get()));
			}
			return this.store.update(key, known.get().version(), value);
		});
	}

	/** Lists the VMs now, beside the periodic listing. */
	void refresh() {
		this.listings.listObjects(KIND).subscribe((listed) -> accept(listed, this.addressListener));
	}

	private void accept(Either<StoreError, ObjectListing> listed, Consumer<List<RegisteredVm>> receiver) {
		listed.peek(
				(listing) -> receiver.accept(remember(listing.objects().stream().map(FleetRegistry::decode).toList())))
			.peekLeft((error) -> LOGGER.infof("Registered VMs cannot be listed: error=%s", error));
	}

	private List<RegisteredVm> remember(List<RegisteredVm> listed) {
		boolean isRestored = this.restoredUntilNanos.filter((until) -> System.nanoTime() - until < 0).isPresent();
		Map<String, RegisteredVm> next = isRestored ? new LinkedHashMap<>(this.known) : new LinkedHashMap<>();
		listed.forEach((vm) -> next.put(vm.name(), vm));
		this.known = next;
		return List.copyOf(next.values());
	}

	private void list() {
		this.listings.listObjects(KIND).subscribe((listed) -> {
			accept(listed, this.addressListener.andThen(this.listener));
			this.vertx.setTimer(this.intervalMillis, (timer) -> list());
			this.intervalMillis = listed.isRight() ? Math.min(MAX_INTERVAL_MILLIS, 2 * this.intervalMillis)
					: INITIAL_INTERVAL_MILLIS;
		});
	}

	private static RegisteredVm decode(StoredObject object) {
		String name = object.key();
		try {
			JsonObject value = new JsonObject(object.value());
			Optional<NetworkAddress> address = text(value, ADDRESS).flatMap(NetworkAddress::parse);
			return new RegisteredVm(name, new DataCentre(text(value, DATA_CENTRE).orElse("")), address,
					number(value, CORES), number(value, LINK));
		}
		catch (DecodeException | ClassCastException ex) {
			LOGGER.warnf("VM entry is invalid, the VM is only counted: vm=%s cause=%s", name, ex.getMessage());
			return new RegisteredVm(name, new DataCentre(""), Optional.empty(), 0, 0);
		}
	}

	private static Optional<String> text(JsonObject value, String field) {
		return Optional.ofNullable(value.getString(field)).filter((text) -> text.length() <= MAX_TEXT_CHARACTERS);
	}

	// Older builds do not register the size of their VM.
	private static double number(JsonObject value, String field) {
		return Optional.ofNullable(value.getDouble(field)).filter((number) -> number > 0).orElse(0.0);
	}

	/**
	 * A registered VM. Thread safety: immutable.
	 *
	 * @param name its unique name
	 * @param dataCentre the data centre in which it runs; the name is empty when the
	 * entry is invalid
	 * @param address the address on which it receives messages of other VMs, empty when
	 * the entry is invalid
	 * @param cores its processor cores, 0 if it does not tell them
	 * @param linkBitsPerSecond the bandwidth of its link, 0 if it does not tell it
	 */
	record RegisteredVm(String name, DataCentre dataCentre, Optional<NetworkAddress> address, double cores,
			double linkBitsPerSecond) {

		RegisteredVm(String name, DataCentre dataCentre, Optional<NetworkAddress> address) {
			this(name, dataCentre, address, 0, 0);
		}

	}

}
