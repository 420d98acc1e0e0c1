package org.burdocktray.bench.claim;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * A store without faults that has a fixed latency per call and counts the calls. Thread
 * safety: confined to the thread of the virtual time.
 */
public final class CountingStore implements PlatformStore {

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final Scheduler scheduler;

	private final long latencyMillis;

	private long version;

	private int reads;

	private int writes;

	private int conflicts;

	private long writtenBytes;

	/**
	 * Creates an empty store.
	 * @param scheduler the scheduler of the virtual time
	 * @param latencyMillis the latency of each call
	 */
	public CountingStore(Scheduler scheduler, long latencyMillis) {
		this.scheduler = scheduler;
		this.latencyMillis = latencyMillis;
	}

	int reads() {
		return this.reads;
	}

	/**
	 * Returns the number of writes, including those that met a conflict.
	 * @return the number of writes
	 */
	public int writes() {
		return this.writes;
	}

	int conflicts() {
		return this.conflicts;
	}

	long writtenBytes() {
		return this.writtenBytes;
	}

	/**
	 * Returns the total size of the stored values.
	 * @return the size in bytes
	 */
	public long storedBytes() {
		return this.objects.values().stream().mapToLong((object) -> object.value().length()).sum();
	}

	@Override
	public Single<Either<StoreError, Optional<StoredObject>>> read(String key) {
		return call(() -> {
			this.reads++;
			return Either.right(Optional.ofNullable(this.objects.get(key)));
		});
	}

	@Override
	public Single<Either<StoreError, List<StoredObject>>> list(String prefix) {
		return call(() -> Either
			.right(this.objects.values().stream().filter((object) -> object.key().startsWith(prefix)).toList()));
	}

	@Override
	public Single<Either<StoreError, StoredObject>> create(String key, String value) {
		return call(() -> put(key, Optional.empty(), value));
	}

	@Override
	public Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion, String value) {
		return call(() -> put(key, Optional.of(expectedVersion), value));
	}

	@Override
	public Flowable<StoredObject> watch(String prefix, long afterVersion) {
		return Flowable.empty();
	}

	private Either<StoreError, StoredObject> put(String key, Optional<StoreRevision> expectedVersion, String value) {
		this.writes++;
		this.writtenBytes += value.length();
		if (!Optional.ofNullable(this.objects.get(key)).map(StoredObject::version).equals(expectedVersion)) {
			this.conflicts++;
			return Either.left(StoreError.CONFLICT);
		}
		StoredObject stored = new StoredObject(key, ++this.version, value);
		this.objects.put(key, stored);
		return Either.right(stored);
	}

	// The operation takes effect halfway through the call.
	private <T> Single<T> call(Supplier<T> operation) {
		long halfMicros = TimeUnit.MILLISECONDS.toMicros(this.latencyMillis) / 2;
		return Single.timer(halfMicros, TimeUnit.MICROSECONDS, this.scheduler)
			.map((tick) -> operation.get())
			.delay(halfMicros, TimeUnit.MICROSECONDS, this.scheduler);
	}

}
