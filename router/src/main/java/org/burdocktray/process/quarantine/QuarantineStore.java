package org.burdocktray.process.quarantine;

import java.util.Base64;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.jboss.logging.Logger;

/**
 * Stores entries of the quarantine in the platform's store, so that they survive the loss
 * of all VMs. A value consists of the expiry time in milliseconds of the wall clock, a
 * space, and the entry in Base64. Entries are written once for each change and VM; what
 * is stored already is merged, never overwritten, unless it is no entry of a VM. An entry
 * whose write fails is written again with the next call. Thread safety: can be called
 * from any thread.
 */
public final class QuarantineStore {

	private static final Logger LOGGER = Logger.getLogger(QuarantineStore.class);

	private static final int MAX_ENTRIES_PER_SAVE = 8;

	private static final int MAX_REMEMBERED = 4_096;

	/** Longer than a store may go back when it returns from a copy. */
	private static final long REMEMBERED_WRITE_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** The largest value that is kept in memory; those that VMs write are far smaller. */
	private static final int MAX_VALUE_CHARACTERS = 16_384;

	private final Quarantine quarantine;

	private final ValueFormat format;

	private final PlatformStore store;

	private final LongSupplier nanoClock;

	private final LongSupplier wallClockMillis;

	/**
	 * The versions of stored objects whose content the quarantine knows, by key, so that
	 * a change of one takes a single call.
	 */
	private final Map<String, StoreRevision> knownVersions = boundedMap();

	/** When this VM has written entries. */
	private final Map<Fingerprint, Long> writtenNanos = boundedMap();

	/**
	 * Creates the adapter.
	 * @param quarantine the quarantine of this VM
	 * @param format where entries are stored, and how
	 * @param store the platform's store
	 * @param nanoClock the clock of the quarantine, in nanoseconds
	 * @param wallClockMillis the wall clock, in milliseconds since the epoch
	 */
	public QuarantineStore(Quarantine quarantine, ValueFormat format, PlatformStore store, LongSupplier nanoClock,
			LongSupplier wallClockMillis) {
		this.quarantine = quarantine;
		this.format = format;
		this.store = store;
		this.nanoClock = nanoClock;
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Loads all entries of the store that have not expired.
	 * @return completes when the store has been read or reading it has failed
	 */
	public Completable load() {
		return this.store.list(this.format.keyPrefix())
			.doOnSuccess((listed) -> listed.peek(this::merge)
				.peekLeft((error) -> LOGGER.warnf("Quarantine not read: error=%s", error)))
			.ignoreElement();
	}

	/**
	 * Returns entries that were changed on this VM since the last call, for
	 * {@link #save}.
	 * @return the entries
	 */
	public List<QuarantineEntry> takeEntries() {
		return this.quarantine.takeEntriesToStore(MAX_ENTRIES_PER_SAVE, this.nanoClock.getAsLong());
	}

	/**
	 * Returns entries with evidence that {@link #takeEntries} has not returned yet, to be
	 * sent to other VMs while a write is in progress. They still have to be written.
	 * @return the entries
	 */
	public List<QuarantineEntry> takeUnsentEntries() {
		return this.quarantine.takeUnsentEntries(MAX_ENTRIES_PER_SAVE, this.nanoClock.getAsLong());
	}

	/**
	 * Writes entries.
	 * @param entries the entries
	 * @return whether all of them were written; those that were not are taken again later
	 */
	public Single<Boolean> save(List<QuarantineEntry> entries) {
		if (entries.isEmpty()) {
			return Single.just(true);
		}
		List<QuarantineEntry> others = entries.subList(1, entries.size());
		return write(entries.get(0)).flatMap((written) -> {
			if (written) {
				return save(others);
			}
			others.forEach(this::takeAgain);
			return Single.just(false);
		});
	}

	private void takeAgain(QuarantineEntry entry) {
		this.quarantine.returnEntryToStore(QuarantineCodec.fingerprint(entry), this.nanoClock.getAsLong());
	}

	/**
	 * Handles that the store has returned from a copy: what this VM has written lately
	 * may be gone, so it is taken and written once more.
	 */
	public void onStoreRestored() {
		long nowNanos = this.nanoClock.getAsLong();
		synchronized (this.writtenNanos) {
			this.writtenNanos.values().removeIf((written) -> nowNanos - written > REMEMBERED_WRITE_NANOS);
			this.writtenNanos.keySet()
				.forEach((fingerprint) -> this.quarantine.returnEntryToStore(fingerprint, nowNanos));
		}
	}

	/**
	 * Merges entries that were read from the store.
	 * @param objects the stored objects
	 */
	public void merge(List<StoredObject> objects) {
		Gossip.Builder entries = Gossip.newBuilder();
		for (StoredObject object : objects) {
			// A watch may show an older state than that which this VM has written.
			this.knownVersions.merge(object.key(), object.version(), StoreRevision::max);
			decode(object).ifPresent(entries::addQuarantine);
		}
		this.quarantine.merge(entries.build(), this.nanoClock.getAsLong());
	}

	private Single<Boolean> write(QuarantineEntry entry) {
		String key = this.format.keyPrefix() + QuarantineCodec.fingerprint(entry).bodyDigest() + '-'
				+ Base64.getUrlEncoder().withoutPadding().encodeToString(entry.getOrganisationBytes().toByteArray());
		StoreRevision knownVersion = this.knownVersions.get(key);
		Single<Either<StoreError, StoredObject>> firstWrite = (knownVersion != null) ? replace(key, entry, knownVersion)
				: this.store.create(key, encode(entry));
		return firstWrite.flatMap((result) -> result.fold((error) -> mergeAndReplace(key, entry, error),
				(written) -> Single.just(recordWritten(entry, written))))
			.doOnSuccess((written) -> {
				if (!written) {
					LOGGER.warnf("Quarantine entry not written: key=%s", key);
					takeAgain(entry);
				}
			});
	}

	private Single<Boolean> mergeAndReplace(String key, QuarantineEntry entry, StoreError error) {
		if (error == StoreError.NOT_FOUND) {
			this.knownVersions.remove(key);
		}
		if (error != StoreError.CONFLICT) {
			return Single.just(false);
		}
		return this.store.read(key).flatMap((read) -> {
			Optional<StoredObject> current = read.getOrElse(Optional.empty());
			current.ifPresent((object) -> merge(List.of(object)));
			if (current.isEmpty()) {
				this.knownVersions.remove(key);
				return Single.just(false);
			}
			return replace(key, entry, current.get().version())
				.map((replaced) -> replaced.fold((fault) -> false, (written) -> recordWritten(entry, written)));
		});
	}

	private Single<Either<StoreError, StoredObject>> replace(String key, QuarantineEntry entry, StoreRevision version) {
		return this.quarantine.entry(QuarantineCodec.fingerprint(entry), this.nanoClock.getAsLong())
			.map((merged) -> this.store.update(key, version, encode(merged)))
			.orElseGet(() -> Single.just(Either.left(StoreError.NOT_FOUND)));
	}

	private boolean recordWritten(QuarantineEntry entry, StoredObject written) {
		this.writtenNanos.put(QuarantineCodec.fingerprint(entry), this.nanoClock.getAsLong());
		this.knownVersions.put(written.key(), written.version());
		return true;
	}

	private static <K, V> Map<K, V> boundedMap() {
		return Collections.synchronizedMap(new LinkedHashMap<>() {
			@Override
			protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
				return size() > MAX_REMEMBERED;
			}
		});
	}

	private String encode(QuarantineEntry entry) {
		long expiresAtMillis = this.wallClockMillis.getAsLong() + entry.getExpiresInMillis();
		return this.format.encoder()
			.apply(expiresAtMillis + " " + Base64.getEncoder().encodeToString(entry.toByteArray()));
	}

	private Optional<QuarantineEntry> decode(StoredObject object) {
		if (object.value().length() > MAX_VALUE_CHARACTERS) {
			LOGGER.warnf("Quarantine entry too large: key=%s characters=%d", object.key(), object.value().length());
			return Optional.empty();
		}
		try {
			String[] parts = this.format.decoder().apply(object.value()).split(" ", 2);
			long remainingMillis = Long.parseLong(parts[0]) - this.wallClockMillis.getAsLong();
			if (remainingMillis <= 0 || parts.length < 2) {
				return Optional.empty();
			}
			QuarantineEntry stored = QuarantineEntry.parseFrom(Base64.getDecoder().decode(parts[1]));
			return Optional
				.of(QuarantineCodec.withoutRun(stored.toBuilder().setExpiresInMillis(remainingMillis).build()));
		}
		catch (IllegalArgumentException | InvalidProtocolBufferException ex) {
			LOGGER.warnf("Quarantine entry not readable: key=%s", object.key());
			return Optional.empty();
		}
	}

	/**
	 * Where entries are stored, and in which form. Thread safety: immutable.
	 *
	 * @param keyPrefix the beginning of their keys, which ends with a slash
	 * @param encoder converts the text of an entry to a value of the store
	 * @param decoder converts a value of the store to the text of an entry; throws
	 * {@link IllegalArgumentException} for other values
	 */
	public record ValueFormat(String keyPrefix, UnaryOperator<String> encoder, UnaryOperator<String> decoder) {

		/**
		 * Returns the format for stores whose values are plain text.
		 * @return the format
		 */
		public static ValueFormat plainText() {
			return new ValueFormat("quarantine/", UnaryOperator.identity(), UnaryOperator.identity());
		}

	}

}
