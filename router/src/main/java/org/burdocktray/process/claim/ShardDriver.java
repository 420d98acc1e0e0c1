package org.burdocktray.process.claim;

import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.SingleSubject;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.jboss.logging.Logger;

/**
 * Performs the actions that one {@link ClaimShard} requests. Invariant: events are
 * processed one at a time, in the order of their arrival. Thread safety: can be called
 * from any thread.
 */
final class ShardDriver {

	private static final Logger logger = Logger.getLogger(ShardDriver.class);

	private final String objectKey;

	private final PlatformStore store;

	private final ClaimShard shard;

	private final Scheduler scheduler;

	private final ClaimClock clock;

	private final long storeCallTimeoutMillis;

	private final Queue<ClaimEvent> events = new ConcurrentLinkedQueue<>();

	private final AtomicInteger pendingEvents = new AtomicInteger();

	private final Map<String, SingleSubject<ClaimDecision>> claimWaiters = new ConcurrentHashMap<>();

	private final Map<Long, SingleSubject<Boolean>> outcomeWaiters = new ConcurrentHashMap<>();

	private final AtomicLong nextWaiterId = new AtomicLong();

	private Disposable timer = Disposable.disposed();

	ShardDriver(String objectKey, PlatformStore store, ClaimParameters parameters, Scheduler scheduler,
			ClaimClock clock) {
		this.objectKey = objectKey;
		this.store = store;
		this.shard = new ClaimShard(parameters);
		this.scheduler = scheduler;
		this.clock = clock;
		this.storeCallTimeoutMillis = parameters.storeCallTimeoutMillis();
	}

	Single<ClaimDecision> claim(ClaimProposal proposal, long deadlineNanos, ClaimOrigin origin) {
		return Single.defer(() -> {
			SingleSubject<ClaimDecision> waiter = SingleSubject.create();
			this.claimWaiters.put(proposal.claimId(), waiter);
			offer(new ClaimEvent.ClaimRequested(proposal, deadlineNanos, origin));
			return waiter;
		});
	}

	Single<Boolean> record(ClaimTicket ticket, ClaimOutcome outcome, long deadlineNanos) {
		return Single.defer(() -> {
			long waiterId = this.nextWaiterId.getAndIncrement();
			SingleSubject<Boolean> waiter = SingleSubject.create();
			this.outcomeWaiters.put(waiterId, waiter);
			offer(new ClaimEvent.OutcomeReported(waiterId, ticket, outcome, deadlineNanos));
			return waiter;
		});
	}

	private void offer(ClaimEvent event) {
		this.events.add(event);
		if (this.pendingEvents.getAndIncrement() != 0) {
			return;
		}
		do {
			ClaimEvent next = this.events.remove();
			this.shard.handle(next, this.clock.now()).forEach(this::perform);
		}
		while (this.pendingEvents.decrementAndGet() != 0);
	}

	private void perform(ClaimAction action) {
		if (action instanceof ClaimAction.ReadObject) {
			read();
		}
		else if (action instanceof ClaimAction.WriteObject write) {
			write(write);
		}
		else if (action instanceof ClaimAction.DeliverDecision delivery) {
			Optional.ofNullable(this.claimWaiters.remove(delivery.claimId()))
				.ifPresent((waiter) -> waiter.onSuccess(delivery.decision()));
		}
		else if (action instanceof ClaimAction.DeliverRecordResult delivery) {
			Optional.ofNullable(this.outcomeWaiters.remove(delivery.waiterId()))
				.ifPresent((waiter) -> waiter.onSuccess(delivery.durable()));
		}
		else if (action instanceof ClaimAction.SetTimer timerAction) {
			startTimer(timerAction.atNanos());
		}
		else if (action instanceof ClaimAction.ReportFault fault) {
			logger.errorf("Claim shard unusable: key=%s detail=%s", this.objectKey, fault.detail());
		}
	}

	private void startTimer(long atNanos) {
		this.timer.dispose();
		long delayNanos = Math.max(0, atNanos - this.clock.now().nanos());
		this.timer = this.scheduler.scheduleDirect(() -> offer(new ClaimEvent.TimerFired()), delayNanos,
				TimeUnit.NANOSECONDS);
	}

	private void read() {
		withTimeout(this.store.read(this.objectKey)).subscribe((result) -> offer(
				result.fold((error) -> new ClaimEvent.ReadFailed(), (object) -> new ClaimEvent.ObjectRead(object))));
	}

	private void write(ClaimAction.WriteObject write) {
		withTimeout(sendWrite(write.expectedVersion(), write.value()))
			.subscribe((result) -> offer(result.fold((error) -> new ClaimEvent.WriteFailed(error),
					(object) -> new ClaimEvent.WriteApplied(object.version()))));
	}

	private Single<Either<StoreError, StoredObject>> sendWrite(Optional<StoreRevision> expectedVersion, String value) {
		if (expectedVersion.isEmpty()) {
			return this.store.create(this.objectKey, value);
		}
		return this.store.update(this.objectKey, expectedVersion.get(), value);
	}

	// Timeouts and unexpected errors leave a call unresolved.
	private <T> Single<Either<StoreError, T>> withTimeout(Single<Either<StoreError, T>> call) {
		Either<StoreError, T> unresolved = Either.left(StoreError.UNRESOLVED);
		return call.timeout(this.storeCallTimeoutMillis, TimeUnit.MILLISECONDS, this.scheduler, Single.just(unresolved))
			.onErrorReturnItem(unresolved);
	}

}
