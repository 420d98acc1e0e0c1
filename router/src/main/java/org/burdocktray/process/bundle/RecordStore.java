package org.burdocktray.process.bundle;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.version.signing.BundleCodec;

/**
 * Reads and creates immutable records with a bounded number of attempts. A create whose
 * response is lost is read back; retrying it cannot take effect twice, because the second
 * create conflicts with the first. Thread safety: stateless.
 */
final class RecordStore {

	static final int MAX_ATTEMPTS = 5;

	private static final long RETRY_DELAY_MILLIS = 300;

	private final PlatformStore store;

	private final Scheduler scheduler;

	RecordStore(PlatformStore store, Scheduler scheduler) {
		this.store = store;
		this.scheduler = scheduler;
	}

	/**
	 * Reads a record.
	 * @param <T> the type of the record
	 * @param key the key
	 * @param type the type of the record
	 * @return the record, empty when there is none
	 */
	<T extends Record> Single<Either<OperationFailure, Optional<T>>> read(String key, Class<T> type) {
		return readObject(key, MAX_ATTEMPTS).map((response) -> response.flatMap((object) -> decode(object, type)));
	}

	/**
	 * Creates a record unless the key already exists.
	 * @param <T> the type of the record
	 * @param key the key
	 * @param value the record
	 * @param type the type of the record
	 * @return the record stored under the key: this one or an earlier one
	 */
	<T extends Record> Single<Either<OperationFailure, T>> createOnce(String key, T value, Class<T> type) {
		return createObject(key, BundleCodec.write(value), MAX_ATTEMPTS, false)
			.map((response) -> response.flatMap((object) -> decode(Optional.of(object), type)).map(Optional::get));
	}

	<T> Single<T> delayed(Single<T> action) {
		return Single.timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, this.scheduler).flatMap((tick) -> action);
	}

	private Single<Either<OperationFailure, Optional<StoredObject>>> readObject(String key, int attemptsLeft) {
		return Single.defer(() -> this.store.read(key)).flatMap((response) -> {
			if (response.isRight()) {
				return Single.just(response.mapLeft((error) -> unavailable()));
			}
			return (attemptsLeft > 1) ? delayed(readObject(key, attemptsLeft - 1))
					: Single.just(Either.left(unavailable()));
		});
	}

	private Single<Either<OperationFailure, StoredObject>> createObject(String key, String value, int attemptsLeft,
			boolean mayBeWritten) {
		return Single.defer(() -> this.store.create(key, value)).flatMap((response) -> {
			if (response.isRight()) {
				return Single.just(response.mapLeft((error) -> unavailable()));
			}
			StoreError error = response.getLeft();
			if (error == StoreError.CONFLICT) {
				return readExisting(key, mayBeWritten);
			}
			if (error == StoreError.TOO_LARGE) {
				return Single.just(Either.left(new OperationFailure(OperationFailure.Kind.REFUSED,
						"the bundle is over the platform's limit for one value")));
			}
			boolean mayHaveBeenWritten = mayBeWritten || error == StoreError.UNRESOLVED;
			return delayed(mayHaveBeenWritten ? readBack(key, value, attemptsLeft)
					: retryCreate(key, value, attemptsLeft, false));
		});
	}

	private Single<Either<OperationFailure, StoredObject>> readBack(String key, String value, int attemptsLeft) {
		return Single.defer(() -> this.store.read(key)).flatMap((response) -> {
			Optional<StoredObject> existing = response.getOrElse(Optional.empty());
			// An absent object is inconclusive: the write may still take effect.
			return existing.isPresent() ? Single.just(Either.right(existing.get()))
					: retryCreate(key, value, attemptsLeft, true);
		});
	}

	private Single<Either<OperationFailure, StoredObject>> retryCreate(String key, String value, int attemptsLeft,
			boolean mayBeWritten) {
		if (attemptsLeft <= 1) {
			return Single.just(Either.left(mayBeWritten ? outcomeUnknown() : unavailable()));
		}
		return createObject(key, value, attemptsLeft - 1, mayBeWritten);
	}

	private Single<Either<OperationFailure, StoredObject>> readExisting(String key, boolean mayBeWritten) {
		Function<OperationFailure, OperationFailure> failure = (readFailure) -> mayBeWritten ? outcomeUnknown()
				: readFailure;
		return readObject(key, MAX_ATTEMPTS).map((response) -> response.mapLeft(failure)
			.flatMap((object) -> object.<Either<OperationFailure, StoredObject>>map(Either::right)
				.orElseGet(() -> Either.left(outcomeUnknown()))));
	}

	private static <T extends Record> Either<OperationFailure, Optional<T>> decode(Optional<StoredObject> object,
			Class<T> type) {
		if (object.isEmpty()) {
			return Either.right(Optional.empty());
		}
		Optional<T> value = BundleCodec.read(object.get().value(), type);
		if (value.isEmpty()) {
			return Either.left(new OperationFailure(OperationFailure.Kind.REFUSED,
					object.get().key() + " in the store is malformed"));
		}
		return Either.right(value);
	}

	private static OperationFailure unavailable() {
		return new OperationFailure(OperationFailure.Kind.UNAVAILABLE, "the platform can't be reached");
	}

	private static OperationFailure outcomeUnknown() {
		return new OperationFailure(OperationFailure.Kind.UNKNOWN,
				"the platform's response is missing, so the outcome is not known");
	}

}
