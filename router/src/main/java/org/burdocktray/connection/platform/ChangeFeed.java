package org.burdocktray.connection.platform;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;

/**
 * Lists the objects of a kind and tells what has changed since. Answers are linearizable.
 * No call ends with an error signal for a failure of the platform. Thread safety:
 * implementations can be called from any thread.
 */
public interface ChangeFeed {

	/**
	 * Lists all objects of a kind.
	 * @param kind the kind
	 * @return the objects and the store's revision, or the error
	 */
	Single<Either<StoreError, ObjectListing>> listObjects(String kind);

	/**
	 * Waits for changes to the objects of a kind.
	 * @param kind the kind
	 * @param afterRevision the revision from which on changes are told
	 * @param waitMillis how long to wait for the first change
	 * @return the changes, none when the time passed without any; or the error,
	 * {@link StoreError#NOT_FOUND} when that history is gone
	 */
	Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, long afterRevision, long waitMillis);

}
