package org.burdocktray.connection.platform;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;

/**
 * The platform's object API. Failures of the platform are {@link StoreError} values,
 * never exceptions or error signals. Each call, including a watch in progress, counts
 * against the rate limits of the platform. Thread safety: implementations can be called
 * from any thread.
 */
public interface PlatformStore {

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the object, empty if it does not exist, or the error
	 */
	Single<Either<StoreError, Optional<StoredObject>>> read(String key);

	/**
	 * Reads all objects whose keys have a prefix.
	 * @param prefix the prefix
	 * @return the objects ordered by key, or the error
	 */
	Single<Either<StoreError, List<StoredObject>>> list(String prefix);

	/**
	 * Creates an object.
	 * @param key the key
	 * @param value the value
	 * @return the stored object, or the error, {@link StoreError#CONFLICT} if the object
	 * already exists
	 */
	Single<Either<StoreError, StoredObject>> create(String key, String value);

	/**
	 * Replaces the value of an object if the object has the expected version.
	 * @param key the key
	 * @param expectedVersion the version that was read
	 * @param value the new value
	 * @return the stored object, or the error; {@link StoreError#ERA_CHANGED} if the
	 * store has returned from a copy since the version was read
	 */
	Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion, String value);

	/**
	 * Watches the objects whose keys have a prefix. The stream completes when the watch
	 * ends for any reason. The subscriber must then read the objects again and start a
	 * new watch.
	 * @param prefix the prefix
	 * @param afterVersion only changes with a higher version are emitted
	 * @return the changed objects ordered by version
	 */
	Flowable<StoredObject> watch(String prefix, long afterVersion);

}
