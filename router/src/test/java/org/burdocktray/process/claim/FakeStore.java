package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * An in-memory platform store in virtual time, with seeded faults. Thread safety:
 * confined to the thread of the virtual time.
 */
final class FakeStore {

	private static final int LATENCY_MILLIS = 5;

	private static final int MAX_LATE_MILLIS = 6_000;

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final Set<String> disconnectedDataCentres = new HashSet<>();

	private final Map<Fault, Integer> faults;

	private final Scheduler time;

	private final SplittableRandom random;

	private final int faultPercent;

	private boolean outage;

	private long version;

	FakeStore(Scheduler time, SplittableRandom random, int faultPercent, Map<Fault, Integer> faults) {
		this.time = time;
		this.random = random;
		this.faultPercent = faultPercent;
		this.faults = faults;
	}

	static FakeStore withoutFaults(Scheduler time) {
		return new FakeStore(time, new SplittableRandom(1), 0, new EnumMap<>(Fault.class));
	}

	PlatformStore connect(String dataCentre, PausableScheduler vm) {
		return new Connection(dataCentre, vm);
	}

	void setOutage(boolean outage) {
		this.outage = outage;
	}

	void setDisconnected(String dataCentre, boolean disconnected) {
		if (disconnected) {
			this.disconnectedDataCentres.add(dataCentre);
			return;
		}
		this.disconnectedDataCentres.remove(dataCentre);
	}

	List<StoredObject> objects() {
		return new ArrayList<>(this.objects.values());
	}

	private boolean isReachable(String dataCentre) {
		return !this.outage && !this.disconnectedDataCentres.contains(dataCentre);
	}

	private Either<StoreError, StoredObject> put(String key, Optional<StoreRevision> expectedVersion, String value) {
		Optional<StoreRevision> current = Optional.ofNullable(this.objects.get(key)).map(StoredObject::version);
		if (!current.equals(expectedVersion)) {
			return Either.left((current.isEmpty()) ? StoreError.NOT_FOUND : StoreError.CONFLICT);
		}
		StoredObject stored = new StoredObject(key, ++this.version, value);
		this.objects.put(key, stored);
		return Either.right(stored);
	}

	private final class Connection implements PlatformStore {

		private final String dataCentre;

		private final PausableScheduler vm;

		Connection(String dataCentre, PausableScheduler vm) {
			this.dataCentre = dataCentre;
			this.vm = vm;
		}

		@Override
		public Single<Either<StoreError, Optional<StoredObject>>> read(String key) {
			return call(() -> Either.right(Optional.ofNullable(FakeStore.this.objects.get(key))));
		}

		@Override
		public Single<Either<StoreError, List<StoredObject>>> list(String prefix) {
			return call(() -> Either
				.right(objects().stream().filter((object) -> object.key().startsWith(prefix)).toList()));
		}

		@Override
		public Single<Either<StoreError, StoredObject>> create(String key, String value) {
			return write(() -> put(key, Optional.empty(), value));
		}

		@Override
		public Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion,
				String value) {
			return write(() -> put(key, Optional.of(expectedVersion), value));
		}

		@Override
		public Flowable<StoredObject> watch(String prefix, long afterVersion) {
			return Flowable.empty();
		}

		private <T> Single<Either<StoreError, T>> write(Supplier<Either<StoreError, T>> write) {
			return Single.defer(() -> {
				if (FakeStore.this.random.nextInt(100) >= FakeStore.this.faultPercent) {
					return call(write);
				}
				return switch (FakeStore.this.random.nextInt(4)) {
					case 0 -> count(Fault.SLOW_ANSWER, callIn(FakeStore.this.random.nextInt(1_500), write));
					case 1 -> count(Fault.LOST_ANSWER_APPLIED, callLosingResponse(LATENCY_MILLIS, write));
					case 2 -> count(Fault.LOST_ANSWER_NOT_APPLIED, callLosingResponse(LATENCY_MILLIS, () -> null));
					default -> count(Fault.LOST_ANSWER_APPLIED_LATE,
							callLosingResponse(FakeStore.this.random.nextInt(MAX_LATE_MILLIS), write));
				};
			});
		}

		private <T> T count(Fault fault, T result) {
			FakeStore.this.faults.merge(fault, 1, Integer::sum);
			return result;
		}

		private <T> Single<Either<StoreError, T>> call(Supplier<Either<StoreError, T>> operation) {
			return Single.defer(() -> callIn(1 + FakeStore.this.random.nextInt(LATENCY_MILLIS), operation));
		}

		private <T> Single<Either<StoreError, T>> callIn(int applyMillis, Supplier<Either<StoreError, T>> operation) {
			SingleSubject<Either<StoreError, T>> response = SingleSubject.create();
			if (!isReachable(this.dataCentre)) {
				StoreError error = (FakeStore.this.random.nextBoolean()) ? StoreError.UNAVAILABLE
						: StoreError.UNRESOLVED;
				this.vm.runAfter(LATENCY_MILLIS, () -> response.onSuccess(Either.left(error)));
				return response;
			}
			schedule(applyMillis, () -> {
				Either<StoreError, T> result = operation.get();
				boolean lost = !isReachable(this.dataCentre);
				this.vm.runAfter(LATENCY_MILLIS,
						() -> response.onSuccess((lost) ? Either.left(StoreError.UNRESOLVED) : result));
			});
			return response;
		}

		private <T> Single<Either<StoreError, T>> callLosingResponse(int applyMillis,
				Supplier<Either<StoreError, T>> operation) {
			SingleSubject<Either<StoreError, T>> response = SingleSubject.create();
			schedule(applyMillis, operation::get);
			this.vm.runAfter(LATENCY_MILLIS, () -> response.onSuccess(Either.left(StoreError.UNRESOLVED)));
			return response;
		}

		private void schedule(int delayMillis, Runnable task) {
			FakeStore.this.time.scheduleDirect(task, delayMillis, TimeUnit.MILLISECONDS);
		}

	}

}
