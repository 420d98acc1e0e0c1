package org.burdocktray.process.bundle;

import java.util.Optional;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.version.signing.BundleCodec;
import org.burdocktray.version.signing.BundlePointer;

/**
 * Advances the pointer to a rolled bundle. Invariant: the version in the pointer never
 * decreases, because each write is conditional on the store version that was read; a
 * delayed write finds a different store version and fails. Thread safety: stateless.
 */
final class BundlePointerWriter {

	private final PlatformStore store;

	private final RecordStore records;

	BundlePointerWriter(PlatformStore store, Scheduler scheduler) {
		this.store = store;
		this.records = new RecordStore(store, scheduler);
	}

	/**
	 * Advances the pointer.
	 * @param target the rolled bundle
	 * @return whether the pointer is known to contain this version or a later one
	 */
	Single<Boolean> advance(BundlePointer target) {
		return advance(target, RecordStore.MAX_ATTEMPTS);
	}

	private Single<Boolean> advance(BundlePointer target, int attemptsLeft) {
		if (attemptsLeft == 0) {
			return Single.just(false);
		}
		return Single.defer(() -> this.store.read(BundleKeys.POINTER)).flatMap((response) -> {
			if (response.isLeft()) {
				return this.records.delayed(advance(target, attemptsLeft - 1));
			}
			if (response.get().filter((object) -> version(object) >= target.version()).isPresent()) {
				return Single.just(true);
			}
			return write(response.get(), target).flatMap((written) -> written.isRight() ? Single.just(true)
					: this.records.delayed(advance(target, attemptsLeft - 1)));
		});
	}

	private Single<Either<StoreError, StoredObject>> write(Optional<StoredObject> current, BundlePointer target) {
		String value = BundleCodec.write(target);
		if (current.isEmpty()) {
			return this.store.create(BundleKeys.POINTER, value);
		}
		return this.store.update(BundleKeys.POINTER, current.get().version(), value);
	}

	private static long version(StoredObject object) {
		return BundleCodec.read(object.value(), BundlePointer.class).map(BundlePointer::version).orElse(0L);
	}

}
