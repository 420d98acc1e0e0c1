package org.burdocktray.process.quarantine;

import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.jboss.logging.Logger;

/**
 * Stores quarantined requests in the platform's store, so that they survive the loss of
 * all VMs. A value consists of the expiry time in milliseconds of the wall clock, a
 * space, and the entry in Base64. Entries are written at most once for each change and
 * VM. A failed write is not retried: gossip still propagates the entry, and the next
 * change writes it again. Thread safety: can be called from any thread.
 */
public final class QuarantineStore {

	private static final Logger LOGGER = Logger.getLogger(QuarantineStore.class);

	private static final String PREFIX = "quarantine/";

	private final Quarantine quarantine;

	private final PlatformStore store;

	private final LongSupplier nanoClock;

	private final LongSupplier wallClockMillis;

	/**
	 * Creates the adapter.
	 * @param quarantine the quarantine of this VM
	 * @param store the platform's store
	 * @param nanoClock the clock of the quarantine, in nanoseconds
	 * @param wallClockMillis the wall clock, in milliseconds since the epoch
	 */
	public QuarantineStore(Quarantine quarantine, PlatformStore store, LongSupplier nanoClock,
			LongSupplier wallClockMillis) {
		this.quarantine = quarantine;
		this.store = store;
		this.nanoClock = nanoClock;
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Loads all entries of the store that have not expired.
	 * @return completes when the store has been read or reading it has failed
	 */
	public Completable load() {
		return this.store.list(PREFIX)
			.doOnSuccess((listed) -> listed.peek(this::mergeStored)
				.peekLeft((error) -> LOGGER.warnf("Quarantine not read: error=%s", error)))
			.ignoreElement();
	}

	/**
	 * Writes the entries that were quarantined on this VM since the last call.
	 * @return completes when each entry has been written or its write has failed
	 */
	public Completable save() {
		return Flowable.fromIterable(this.quarantine.takeEntriesToStore(this.nanoClock.getAsLong()))
			.concatMapSingle(this::write)
			.ignoreElements();
	}

	private Single<Boolean> write(QuarantineEntry entry) {
		String key = PREFIX + QuarantineCodec.fingerprint(entry).bodyDigest() + '-'
				+ Base64.getUrlEncoder().withoutPadding().encodeToString(entry.getOrganisationBytes().toByteArray());
		String value = this.wallClockMillis.getAsLong() + entry.getExpiresInMillis() + " "
				+ Base64.getEncoder().encodeToString(entry.toByteArray());
		return this.store.create(key, value)
			.flatMap((created) -> created.fold((error) -> replace(key, value, error), (written) -> Single.just(true)))
			.doOnSuccess((written) -> {
				if (!written) {
					LOGGER.warnf("Quarantine entry not written: key=%s", key);
				}
			});
	}

	private Single<Boolean> replace(String key, String value, StoreError error) {
		if (error != StoreError.CONFLICT) {
			return Single.just(false);
		}
		return this.store.read(key)
			.flatMap((read) -> read.getOrElse(Optional.empty())
				.map((current) -> this.store.update(key, current.version(), value).map((updated) -> updated.isRight()))
				.orElse(Single.just(false)));
	}

	private void mergeStored(List<StoredObject> objects) {
		Gossip.Builder entries = Gossip.newBuilder();
		objects.forEach((object) -> decode(object).ifPresent(entries::addQuarantine));
		this.quarantine.merge(entries.build(), this.nanoClock.getAsLong());
	}

	private Optional<QuarantineEntry> decode(StoredObject object) {
		try {
			String[] parts = object.value().split(" ", 2);
			long remainingMillis = Long.parseLong(parts[0]) - this.wallClockMillis.getAsLong();
			if (remainingMillis <= 0 || parts.length < 2) {
				return Optional.empty();
			}
			QuarantineEntry stored = QuarantineEntry.parseFrom(Base64.getDecoder().decode(parts[1]));
			return Optional.of(stored.toBuilder().setExpiresInMillis(remainingMillis).setRunningVm("").build());
		}
		catch (IllegalArgumentException | InvalidProtocolBufferException ex) {
			LOGGER.warnf("Quarantine entry not readable: key=%s", object.key());
			return Optional.empty();
		}
	}

}
