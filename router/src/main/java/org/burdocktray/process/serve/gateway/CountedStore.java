package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * Counts the calls to the platform's store by kind of object and call, so that operators
 * see which of a VM's duties uses the store. Thread safety: that of the calls it passes
 * on.
 */
final class CountedStore implements PlatformStore {

	private final PlatformStore store;

	private final GatewayMetrics metrics;

	CountedStore(PlatformStore store, GatewayMetrics metrics) {
		this.store = store;
		this.metrics = metrics;
	}

	/**
	 * Returns an adapter whose calls to the store are counted.
	 * @param adapter the adapter
	 * @param metrics the counters
	 * @return the counted adapter
	 */
	static GatewayAdapter count(GatewayAdapter adapter, GatewayMetrics metrics) {
		return new GatewayAdapter(adapter.headers(), adapter.objects(), new CountedStore(adapter.store(), metrics),
				new CountedFeed(adapter.feed(), metrics), new CountedFeed(adapter.hintFeed(), metrics), adapter.eras(),
				adapter.engineControl());
	}

	@Override
	public Single<Either<StoreError, Optional<StoredObject>>> read(String key) {
		recordCall(key, "read");
		return this.store.read(key);
	}

	@Override
	public Single<Either<StoreError, List<StoredObject>>> list(String prefix) {
		recordCall(prefix, "list");
		return this.store.list(prefix);
	}

	@Override
	public Single<Either<StoreError, StoredObject>> create(String key, String value) {
		recordCall(key, "write");
		return this.store.create(key, value);
	}

	@Override
	public Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion, String value) {
		recordCall(key, "write");
		return this.store.update(key, expectedVersion, value);
	}

	@Override
	public Flowable<StoredObject> watch(String prefix, long afterVersion) {
		return this.store.watch(prefix, afterVersion);
	}

	private void recordCall(String key, String call) {
		int kindEnd = key.indexOf('/');
		this.metrics.recordStoreCall((kindEnd > 0) ? key.substring(0, kindEnd) : key, call);
	}

	private record CountedFeed(ChangeFeed feed, GatewayMetrics metrics) implements ChangeFeed {

		@Override
		public Single<Either<StoreError, ObjectListing>> listObjects(String kind) {
			this.metrics.recordStoreCall(kind, "list");
			return this.feed.listObjects(kind);
		}

		@Override
		public Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, StoreRevision afterRevision,
				long waitMillis) {
			this.metrics.recordStoreCall(kind, "watch");
			return this.feed.awaitChanges(kind, afterRevision, waitMillis);
		}

	}

}
