package org.burdocktray.connection.platform;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;

/**
 * Lists the objects of a kind and returns later changes to them. Responses are
 * linearizable. Failures of the platform are {@link StoreError} values, never error
 * signals. Thread safety: implementations can be called from any thread.
 */
public interface ChangeFeed {

	/**
	 * How much longer than its wait a call for changes may take. After that its
	 * connection counts as silent.
	 */
	long MAX_ANSWER_DELAY_MILLIS = 700;

	/**
	 * Lists all objects of a kind.
	 * @param kind the kind
	 * @return the objects and the revision of the store, or the error
	 */
	Single<Either<StoreError, ObjectListing>> listObjects(String kind);

	/**
	 * Waits for changes to the objects of a kind.
	 * @param kind the kind
	 * @param afterRevision only changes after this revision are returned
	 * @param waitMillis the maximum time to wait for the first change
	 * @return the changes, none if there were none within the wait time; or the error,
	 * {@link StoreError#NOT_FOUND} if the store no longer has the changes after the
	 * revision, or has returned from a copy since
	 */
	Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, StoreRevision afterRevision, long waitMillis);

}
