package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.jboss.logging.Logger;

/**
 * Registers this VM in the platform's store and lists the registered VMs. VMs that have
 * stopped stay listed, so that the number of VMs is never underestimated. Thread safety:
 * none, confined to one event loop.
 */
final class FleetRegistry {

	private static final Logger LOGGER = Logger.getLogger(FleetRegistry.class);

	private static final String KEY_PREFIX = "burdocktray-vms/";

	private static final String DATA_CENTRE = "dataCentre";

	private static final String ADDRESS = "address";

	/** The largest text that is kept; far more than the name of a data centre has. */
	private static final int MAX_TEXT_CHARACTERS = 1_024;

	private static final long INITIAL_INTERVAL_MILLIS = 1_000;

	private static final long MAX_INTERVAL_MILLIS = 16_000;

	private final Vertx vertx;

	private final PlatformStore store;

	private final RegisteredVm ownVm;

	private final Consumer<List<RegisteredVm>> listener;

	private long intervalMillis = INITIAL_INTERVAL_MILLIS;

	FleetRegistry(Vertx vertx, PlatformStore store, RegisteredVm ownVm, Consumer<List<RegisteredVm>> listener) {
		this.vertx = vertx;
		this.store = store;
		this.ownVm = ownVm;
		this.listener = listener;
	}

	void start() {
		String value = new JsonObject().put(DATA_CENTRE, this.ownVm.dataCentre().name())
			.put(ADDRESS, this.ownVm.address().map(NetworkAddress::toString).orElse(""))
			.encode();
		this.store.create(KEY_PREFIX + this.ownVm.name(), value).subscribe((result) -> {
			boolean isRegistered = result.isRight() || result.getLeft() == StoreError.CONFLICT;
			if (!isRegistered) {
				LOGGER.warnf("VM registration failed, retrying: error=%s", result.getLeft());
			}
			this.vertx.setTimer(INITIAL_INTERVAL_MILLIS, (timer) -> {
				if (isRegistered) {
					list();
				}
				else {
					start();
				}
			});
		});
	}

	private void list() {
		this.store.list(KEY_PREFIX).subscribe((listed) -> {
			listed.peek((objects) -> this.listener.accept(objects.stream().map(FleetRegistry::decode).toList()))
				.peekLeft((error) -> LOGGER.infof("Registered VMs cannot be listed: error=%s", error));
			this.vertx.setTimer(this.intervalMillis, (timer) -> list());
			this.intervalMillis = listed.isRight() ? Math.min(MAX_INTERVAL_MILLIS, 2 * this.intervalMillis)
					: INITIAL_INTERVAL_MILLIS;
		});
	}

	private static RegisteredVm decode(StoredObject object) {
		String name = object.key().substring(KEY_PREFIX.length());
		try {
			JsonObject value = new JsonObject(object.value());
			Optional<NetworkAddress> address = text(value, ADDRESS).flatMap(NetworkAddress::parse);
			return new RegisteredVm(name, new DataCentre(text(value, DATA_CENTRE).orElse("")), address);
		}
		catch (DecodeException | ClassCastException ex) {
			LOGGER.warnf("VM entry is invalid, the VM is only counted: vm=%s cause=%s", name, ex.getMessage());
			return new RegisteredVm(name, new DataCentre(""), Optional.empty());
		}
	}

	private static Optional<String> text(JsonObject value, String field) {
		return Optional.ofNullable(value.getString(field)).filter((text) -> text.length() <= MAX_TEXT_CHARACTERS);
	}

	/**
	 * A registered VM. Thread safety: immutable.
	 *
	 * @param name its unique name
	 * @param dataCentre the data centre in which it runs; the name is empty when the
	 * entry is invalid
	 * @param address the address on which it receives messages of other VMs, empty when
	 * the entry is invalid
	 */
	record RegisteredVm(String name, DataCentre dataCentre, Optional<NetworkAddress> address) {

	}

}
