package org.burdocktray.bench.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.bundle.BundleKeys;

/**
 * The platform's store in virtual time, with outages, lost responses, delayed writes and
 * watches that stop delivering. Thread safety: one thread.
 */
final class SimulatedStore {

	private static final int LATENCY_MILLIS = 4;

	private static final int CALL_TIMEOUT_MILLIS = 2_000;

	private static final int MAX_WRITE_DELAY_MILLIS = 15_000;

	private final TestScheduler scheduler;

	private final RandomGenerator random;

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final List<Watch> watches = new ArrayList<>();

	private final Consumer<StoredObject> writeListener;

	private long revision;

	private boolean down;

	private double responseLossRate;

	private boolean createConditionEnabled = true;

	private long callCount;

	SimulatedStore(TestScheduler scheduler, RandomGenerator random, Consumer<StoredObject> writeListener) {
		this.scheduler = scheduler;
		this.random = random;
		this.writeListener = writeListener;
	}

	void setDown(boolean down) {
		this.down = down;
	}

	boolean isDown() {
		return this.down;
	}

	/**
	 * Sets the probability that the response to a call is lost.
	 * @param rate the probability, 0 to 1
	 */
	void setResponseLossRate(double rate) {
		this.responseLossRate = rate;
	}

	/**
	 * Lets each create replace an existing object, to show which violations the condition
	 * prevents.
	 */
	void disableCreateCondition() {
		this.createConditionEnabled = false;
	}

	long callCount() {
		return this.callCount;
	}

	Optional<StoredObject> findObject(String key) {
		return Optional.ofNullable(this.objects.get(key));
	}

	PlatformStore createClient(BooleanSupplier reachable, BundleTraffic traffic) {
		return new Client(reachable, traffic);
	}

	private Either<StoreError, StoredObject> create(String key, String value) {
		if (this.createConditionEnabled && this.objects.containsKey(key)) {
			return Either.left(StoreError.CONFLICT);
		}
		return Either.right(put(key, value));
	}

	private Either<StoreError, StoredObject> update(String key, StoreRevision expectedVersion, String value) {
		StoredObject current = this.objects.get(key);
		if (current == null) {
			return Either.left(StoreError.NOT_FOUND);
		}
		return (current.version().equals(expectedVersion)) ? Either.right(put(key, value))
				: Either.left(StoreError.CONFLICT);
	}

	private StoredObject put(String key, String value) {
		this.revision++;
		StoredObject object = new StoredObject(key, this.revision, value);
		this.objects.put(key, object);
		this.writeListener.accept(object);
		List.copyOf(this.watches).forEach((watch) -> watch.deliver(object));
		return object;
	}

	private static void countReceivedBundle(BundleTraffic traffic, StoredObject object) {
		if (BundleKeys.rolledVersion(object.key()).isPresent()) {
			traffic.recordReceived(object.value());
		}
	}

	private void schedule(long millis, Runnable task) {
		this.scheduler.scheduleDirect(task, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * An open watch.
	 */
	private final class Watch {

		private final String prefix;

		private final FlowableEmitter<StoredObject> emitter;

		private final BooleanSupplier reachable;

		private final BundleTraffic traffic;

		Watch(String prefix, FlowableEmitter<StoredObject> emitter, BooleanSupplier reachable, BundleTraffic traffic) {
			this.prefix = prefix;
			this.emitter = emitter;
			this.reachable = reachable;
			this.traffic = traffic;
		}

		void deliver(StoredObject object) {
			if (!object.key().startsWith(this.prefix)) {
				return;
			}
			if (this.reachable.getAsBoolean() && !SimulatedStore.this.down) {
				schedule(LATENCY_MILLIS, () -> {
					countReceivedBundle(this.traffic, object);
					this.emitter.onNext(object);
				});
				return;
			}
			SimulatedStore.this.watches.remove(this);
			if (SimulatedStore.this.random.nextBoolean()) {
				schedule(LATENCY_MILLIS, this.emitter::onComplete);
			}
		}

	}

	/**
	 * The store as accessed by one process.
	 */
	private final class Client implements PlatformStore {

		private final BooleanSupplier reachable;

		private final BundleTraffic traffic;

		Client(BooleanSupplier reachable, BundleTraffic traffic) {
			this.reachable = reachable;
			this.traffic = traffic;
		}

		@Override
		public Single<Either<StoreError, Optional<StoredObject>>> read(String key) {
			return call(() -> {
				Optional<StoredObject> found = findObject(key);
				found.ifPresent((object) -> countReceivedBundle(this.traffic, object));
				return Either.right(found);
			}, StoreError.UNAVAILABLE);
		}

		@Override
		public Single<Either<StoreError, List<StoredObject>>> list(String prefix) {
			return call(() -> Either.right(SimulatedStore.this.objects.values()
				.stream()
				.filter((object) -> object.key().startsWith(prefix))
				.toList()), StoreError.UNAVAILABLE);
		}

		@Override
		public Single<Either<StoreError, StoredObject>> create(String key, String value) {
			return call(() -> SimulatedStore.this.create(key, value), StoreError.UNRESOLVED);
		}

		@Override
		public Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion,
				String value) {
			return call(() -> SimulatedStore.this.update(key, expectedVersion, value), StoreError.UNRESOLVED);
		}

		@Override
		public Flowable<StoredObject> watch(String prefix, long afterVersion) {
			return Flowable.create((emitter) -> {
				SimulatedStore.this.callCount++;
				if (SimulatedStore.this.down || !this.reachable.getAsBoolean()) {
					schedule(LATENCY_MILLIS, emitter::onComplete);
					return;
				}
				Watch watch = new Watch(prefix, emitter, this.reachable, this.traffic);
				emitter.setCancellable(() -> SimulatedStore.this.watches.remove(watch));
				SimulatedStore.this.watches.add(watch);
				SimulatedStore.this.objects.values()
					.stream()
					.filter((object) -> object.version().number() > afterVersion)
					.toList()
					.forEach(watch::deliver);
			}, BackpressureStrategy.BUFFER);
		}

		private <T> Single<Either<StoreError, T>> call(Supplier<Either<StoreError, T>> operation,
				StoreError lostResponseError) {
			return Single.create((emitter) -> {
				SimulatedStore.this.callCount++;
				if (SimulatedStore.this.down || !this.reachable.getAsBoolean()) {
					schedule(LATENCY_MILLIS, () -> emitter.onSuccess(Either.left(StoreError.UNAVAILABLE)));
					return;
				}
				if (SimulatedStore.this.random.nextDouble() < SimulatedStore.this.responseLossRate) {
					simulateLostCall(operation);
					schedule(CALL_TIMEOUT_MILLIS, () -> emitter.onSuccess(Either.left(lostResponseError)));
					return;
				}
				schedule(LATENCY_MILLIS, () -> {
					Either<StoreError, T> result = operation.get();
					schedule(LATENCY_MILLIS, () -> emitter.onSuccess(result));
				});
			});
		}

		private <T> void simulateLostCall(Supplier<Either<StoreError, T>> operation) {
			switch (SimulatedStore.this.random.nextInt(3)) {
				case 0:
					break;
				case 1:
					schedule(LATENCY_MILLIS, operation::get);
					break;
				default:
					schedule(SimulatedStore.this.random.nextInt(MAX_WRITE_DELAY_MILLIS), operation::get);
			}
		}

	}

}
