package org.burdocktray.process.order;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vavr.control.Either;
import org.burdocktray.connection.engine.DesiredState;
import org.burdocktray.connection.engine.EngineOrderClient;
import org.burdocktray.connection.engine.OrderFailure;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.jboss.logging.Logger;

/**
 * Performs the actions of one {@link OrderPlanner} and passes the results back as events.
 * Invariant: each call results in one event within its timeout. Thread safety: events are
 * handled on the worker, one at a time; responses to calls may arrive on any thread.
 */
final class GroupDriver implements Disposable {

	private static final Logger LOGGER = Logger.getLogger(GroupDriver.class);

	private static final long STORE_CALL_TIMEOUT_MILLIS = 2_000;

	private final String leaseKey;

	private final OrderPlanner planner;

	private final OrderSettings settings;

	private final PlatformStore store;

	private final EngineOrderClient orders;

	private final Scheduler.Worker worker;

	private final Scheduler scheduler;

	private final LongSupplier nanoClock;

	private final CompositeDisposable pendingCalls = new CompositeDisposable();

	private Disposable timer = Disposable.disposed();

	GroupDriver(String group, OrderPlanner planner, OrderSettings settings, PlatformStore store,
			EngineOrderClient orders, Scheduler scheduler, Scheduler.Worker worker, LongSupplier nanoClock) {
		this.leaseKey = OrderLease.KEY_PREFIX + group;
		this.planner = planner;
		this.settings = settings;
		this.store = store;
		this.orders = orders;
		this.scheduler = scheduler;
		this.worker = worker;
		this.nanoClock = nanoClock;
	}

	/**
	 * Sets the engines of the group and their desired states. Must be called on the
	 * worker.
	 * @param targets the engines and their desired states
	 */
	void setTargets(List<OrderTarget> targets) {
		handle(new OrderEvent.BundleChanged(targets));
	}

	@Override
	public void dispose() {
		this.timer.dispose();
		this.pendingCalls.dispose();
	}

	@Override
	public boolean isDisposed() {
		return this.pendingCalls.isDisposed();
	}

	private void handle(OrderEvent event) {
		if (isDisposed()) {
			return;
		}
		this.planner.handle(event, this.nanoClock.getAsLong()).forEach(this::perform);
	}

	private void perform(OrderAction action) {
		if (action instanceof OrderAction.ReadLease) {
			readLease();
		}
		else if (action instanceof OrderAction.WriteLease write) {
			writeLease(write);
		}
		else if (action instanceof OrderAction.QueryLoad query) {
			queryLoad(query);
		}
		else if (action instanceof OrderAction.SendOrder send) {
			sendOrder(send);
		}
		else if (action instanceof OrderAction.SetTimer set) {
			startTimer(set.atNanos());
		}
	}

	private void startTimer(long atNanos) {
		this.timer.dispose();
		long delayNanos = Math.max(0, atNanos - this.nanoClock.getAsLong());
		this.timer = this.worker.schedule(() -> handle(new OrderEvent.TimerFired()), delayNanos, TimeUnit.NANOSECONDS);
	}

	private void readLease() {
		Either<StoreError, Optional<StoredObject>> timeoutResult = Either.left(StoreError.UNAVAILABLE);
		callWithTimeout(this.store.read(this.leaseKey), STORE_CALL_TIMEOUT_MILLIS, timeoutResult,
				(result) -> result.fold((error) -> new OrderEvent.LeaseReadFailed(), OrderEvent.LeaseRead::new));
	}

	private void writeLease(OrderAction.WriteLease write) {
		Single<Either<StoreError, StoredObject>> sent = (write.expectedVersion().isPresent())
				? this.store.update(this.leaseKey, write.expectedVersion().get(), write.value())
				: this.store.create(this.leaseKey, write.value());
		callWithTimeout(sent, STORE_CALL_TIMEOUT_MILLIS, Either.left(StoreError.UNRESOLVED),
				(result) -> result.fold(OrderEvent.LeaseWriteFailed::new, OrderEvent.LeaseWritten::new));
	}

	private void queryLoad(OrderAction.QueryLoad query) {
		long timeoutMillis = this.settings.orderTimeoutMillis();
		callWithTimeout(this.orders.fetchLoadedModel(query.engine(), timeoutMillis), timeoutMillis, Optional.empty(),
				(loadedModel) -> new OrderEvent.LoadReported(query.engine().name(), loadedModel));
	}

	private void sendOrder(OrderAction.SendOrder send) {
		long timeoutMillis = this.settings.orderTimeoutMillis();
		String engineName = send.order().engine().name();
		Single<Either<OrderFailure, DesiredState>> sent = this.orders.sendOrder(send.order(), timeoutMillis,
				() -> !isDisposed() && this.nanoClock.getAsLong() - send.deadlineNanos() <= 0);
		callWithTimeout(sent, timeoutMillis, Either.left(OrderFailure.UNRESOLVED),
				(result) -> toEvent(engineName, send, result));
	}

	private static OrderEvent toEvent(String engineName, OrderAction.SendOrder send,
			Either<OrderFailure, DesiredState> result) {
		if (result.isLeft()) {
			LOGGER.warnf("Order not taken: upstream=%s fencingNumber=%d failure=%s", engineName,
					send.order().fencingNumber(), result.getLeft());
			return new OrderEvent.OrderFailed(engineName, result.getLeft());
		}
		LOGGER.infof("Order taken: upstream=%s fencingNumber=%d model=%s modelVersion=%s", engineName,
				send.order().fencingNumber(), result.get().model(), result.get().modelVersion());
		return new OrderEvent.OrderAccepted(engineName);
	}

	private <T> void callWithTimeout(Single<T> call, long timeoutMillis, T timeoutResult,
			Function<T, OrderEvent> toEvent) {
		call.timeout(timeoutMillis, TimeUnit.MILLISECONDS, this.scheduler, Single.just(timeoutResult))
			.onErrorReturnItem(timeoutResult)
			.subscribe((result) -> this.worker.schedule(() -> handle(toEvent.apply(result))),
					(exception) -> LOGGER.errorf(exception, "Answer not handled: key=%s", this.leaseKey),
					this.pendingCalls);
	}

}
