package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CountedStoreTests {

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final CountedStore store = new CountedStore(new EmptyStore(), this.metrics);

	@Test
	void callsAreCountedByKindWithoutNames() {
		this.store.read("leases/placement");
		this.store.read("leases/other");
		this.store.create("leases/placement", "{}");
		this.store.update("leases/placement", StoreRevision.of(1), "{}");
		this.store.list("vms/");
		assertThat(this.metrics.scrape().toString())
			.contains("burdocktray_gateway_store_calls_total{call=\"read\",kind=\"leases\"} 2.0")
			.contains("burdocktray_gateway_store_calls_total{call=\"write\",kind=\"leases\"} 2.0")
			.contains("burdocktray_gateway_store_calls_total{call=\"list\",kind=\"vms\"} 1.0");
	}

	private static final class EmptyStore implements PlatformStore {

		@Override
		public Single<Either<StoreError, Optional<StoredObject>>> read(String key) {
			return Single.just(Either.right(Optional.empty()));
		}

		@Override
		public Single<Either<StoreError, List<StoredObject>>> list(String prefix) {
			return Single.just(Either.right(List.of()));
		}

		@Override
		public Single<Either<StoreError, StoredObject>> create(String key, String value) {
			return Single.just(Either.left(StoreError.UNAVAILABLE));
		}

		@Override
		public Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion,
				String value) {
			return Single.just(Either.left(StoreError.UNAVAILABLE));
		}

		@Override
		public Flowable<StoredObject> watch(String prefix, long afterVersion) {
			return Flowable.empty();
		}

	}

}
