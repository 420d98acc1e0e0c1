package org.burdocktray.process.watch;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;

/**
 * Repeats a call for changes that has ended without an answer. Such an end tells of its
 * connection only, which may have fallen silent or was cut off while the call waited; the
 * store may answer on another one. The repeated call does not wait, so it brings at once
 * what has changed meanwhile. Invariant: a call is repeated once at most, so that an
 * outage of the store is known soon. Thread safety: that of the repeated feed.
 *
 * @param feed the feed whose calls are repeated
 */
public record RepeatingFeed(ChangeFeed feed) implements ChangeFeed {

	private static final long NO_WAIT = 0;

	@Override
	public Single<Either<StoreError, ObjectListing>> listObjects(String kind) {
		return this.feed.listObjects(kind);
	}

	@Override
	public Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, StoreRevision afterRevision,
			long waitMillis) {
		return this.feed.awaitChanges(kind, afterRevision, waitMillis).flatMap((result) -> {
			if (result.isLeft() && result.getLeft() == StoreError.UNRESOLVED) {
				return this.feed.awaitChanges(kind, afterRevision, NO_WAIT);
			}
			return Single.just(result);
		});
	}

}
