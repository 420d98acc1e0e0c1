package org.burdocktray.process.serve.gateway;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.Optional;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.jboss.logging.Logger;

/**
 * The key by which VMs know each other's requests: the first VM of a fleet draws it and
 * writes it to the platform's store, the others read it there. A store that returns from
 * a copy without the key gets it back. Invariant: without a key, no request is accepted
 * and none is relayed. Thread safety: none, confined to one event loop.
 */
final class RelayKey {

	private static final Logger LOGGER = Logger.getLogger(RelayKey.class);

	private static final String OBJECT = "burdocktray-keys/relay";

	private static final String FIELD = "key";

	private static final int KEY_BYTES = 32;

	private static final long RETRY_PAUSE_MILLIS = 1_000;

	private final Vertx vertx;

	private final PlatformStore store;

	private Optional<String> value = Optional.empty();

	RelayKey(Vertx vertx, PlatformStore store) {
		this.vertx = vertx;
		this.store = store;
	}

	/** Creates or reads the key, and tries again until it is known. */
	void start() {
		String drawn = this.value.orElseGet(RelayKey::draw);
		this.store.create(OBJECT, new JsonObject().put(FIELD, drawn).encode()).subscribe((created) -> {
			if (created.isRight()) {
				this.value = Optional.of(drawn);
				return;
			}
			if (created.getLeft() == StoreError.CONFLICT) {
				read();
				return;
			}
			retry(String.valueOf(created.getLeft()));
		});
	}

	/** Handles that the store has returned from a copy, which may lack the key. */
	void onStoreRestored() {
		this.store.read(OBJECT).subscribe((found) -> {
			Optional<String> stored = found.getOrElse(Optional.empty()).flatMap(RelayKey::decode);
			if (stored.isEmpty()) {
				retry(describe(found));
				return;
			}
			this.value = stored;
		});
	}

	private void read() {
		this.store.read(OBJECT).subscribe((found) -> {
			Optional<String> stored = found.getOrElse(Optional.empty()).flatMap(RelayKey::decode);
			if (stored.isEmpty()) {
				retry(describe(found));
				return;
			}
			this.value = stored;
		});
	}

	private void retry(String cause) {
		LOGGER.infof("Key of the VMs is not known yet: cause=%s", cause);
		this.vertx.setTimer(RETRY_PAUSE_MILLIS, (timer) -> start());
	}

	/**
	 * Returns the key.
	 * @return the key, empty until the store has answered
	 */
	Optional<String> value() {
		return this.value;
	}

	/**
	 * Returns whether a sender knows the key. Takes the same time for all wrong keys.
	 * @param presented what the sender presents, or null
	 * @return whether it is the key
	 */
	boolean matches(String presented) {
		return presented != null && this.value
			.filter((key) -> MessageDigest.isEqual(key.getBytes(StandardCharsets.UTF_8),
					presented.getBytes(StandardCharsets.UTF_8)))
			.isPresent();
	}

	private static String draw() {
		byte[] bytes = new byte[KEY_BYTES];
		new SecureRandom().nextBytes(bytes);
		return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
	}

	private static Optional<String> decode(StoredObject object) {
		try {
			return Optional.ofNullable(new JsonObject(object.value()).getString(FIELD));
		}
		catch (DecodeException | ClassCastException ex) {
			return Optional.empty();
		}
	}

	private static String describe(Either<StoreError, Optional<StoredObject>> found) {
		return found.isLeft() ? String.valueOf(found.getLeft()) : "no key in the object";
	}

}
