package org.burdocktray.process.watch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a watch whose connection has fallen silent and that is taken for an
 * outage of the store.
 */
class RepeatingFeedTests {

	private static final ObjectChanges NO_CHANGES = new ObjectChanges(List.of(), StoreRevision.of(8));

	private final FakeFeed feed = new FakeFeed();

	private final RepeatingFeed repeating = new RepeatingFeed(this.feed);

	@Test
	void watchWithoutAnAnswerIsRepeatedWithoutAWait() {
		this.feed.results.add(Either.left(StoreError.UNRESOLVED));
		this.feed.results.add(Either.right(NO_CHANGES));
		assertThat(watch()).isEqualTo(Either.right(NO_CHANGES));
		assertThat(this.feed.calls).containsExactly("servers after 7 wait 900", "servers after 7 wait 0");
	}

	/** Guards against outages that are noticed late. */
	@Test
	void watchIsRepeatedOnce() {
		this.feed.results.add(Either.left(StoreError.UNRESOLVED));
		this.feed.results.add(Either.left(StoreError.UNRESOLVED));
		assertThat(watch().getLeft()).isEqualTo(StoreError.UNRESOLVED);
		assertThat(this.feed.calls).hasSize(2);
	}

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "UNRESOLVED")
	void answersAreFinal(StoreError error) {
		this.feed.results.add(Either.left(error));
		assertThat(watch().getLeft()).isEqualTo(error);
		assertThat(this.feed.calls).hasSize(1);
	}

	private Either<StoreError, ObjectChanges> watch() {
		return this.repeating.awaitChanges("servers", StoreRevision.of(7), 900).blockingGet();
	}

	private static final class FakeFeed implements ChangeFeed {

		private final Queue<Either<StoreError, ObjectChanges>> results = new ArrayDeque<>();

		private final List<String> calls = new ArrayList<>();

		@Override
		public Single<Either<StoreError, ObjectListing>> listObjects(String kind) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, StoreRevision afterRevision,
				long waitMillis) {
			this.calls.add(kind + " after " + afterRevision.number() + " wait " + waitMillis);
			return Single.just(this.results.remove());
		}

	}

}
