package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;

/**
 * Collects items of one shard over a short interval and sends them as a batch. Thread
 * safety: can be called from any thread.
 *
 * @param <I> the type of the items
 * @param <R> the type of the reply to one item
 */
final class ForwardBatcher<I, R> {

	private static final long LINGER_MILLIS = 2;

	private final Scheduler scheduler;

	private final Function<I, String> claimIdOf;

	private final Function<List<I>, Maybe<Map<String, R>>> send;

	private List<PendingItem<I, R>> queue = new ArrayList<>();

	ForwardBatcher(Scheduler scheduler, Function<I, String> claimIdOf, Function<List<I>, Maybe<Map<String, R>>> send) {
		this.scheduler = scheduler;
		this.claimIdOf = claimIdOf;
		this.send = send;
	}

	Single<ForwardResult<R>> submit(I item, long timeoutMillis) {
		return Single.defer(() -> {
			SingleSubject<ForwardResult<R>> result = SingleSubject.create();
			if (enqueue(new PendingItem<>(item, result))) {
				this.scheduler.scheduleDirect(this::flush, LINGER_MILLIS, TimeUnit.MILLISECONDS);
			}
			return result.timeout(timeoutMillis, TimeUnit.MILLISECONDS, this.scheduler,
					Single.just(new ForwardResult.Unresolved<>()));
		});
	}

	private synchronized boolean enqueue(PendingItem<I, R> pending) {
		this.queue.add(pending);
		return this.queue.size() == 1;
	}

	private synchronized List<PendingItem<I, R>> drainQueue() {
		List<PendingItem<I, R>> drained = this.queue;
		this.queue = new ArrayList<>();
		return drained;
	}

	private void flush() {
		List<PendingItem<I, R>> batch = drainQueue();
		this.send.apply(batch.stream().map(PendingItem::item).toList())
			.subscribe((replies) -> completeBatch(batch, replies),
					(error) -> completeAll(batch, new ForwardResult.Unresolved<>()),
					() -> completeAll(batch, new ForwardResult.NotSent<>()));
	}

	private void completeBatch(List<PendingItem<I, R>> batch, Map<String, R> replies) {
		for (PendingItem<I, R> pending : batch) {
			Optional<R> reply = Optional.ofNullable(replies.get(this.claimIdOf.apply(pending.item())));
			pending.result()
				.onSuccess(reply.<ForwardResult<R>>map(ForwardResult.Replied::new)
					.orElseGet(ForwardResult.Unresolved::new));
		}
	}

	private void completeAll(List<PendingItem<I, R>> batch, ForwardResult<R> result) {
		batch.forEach((pending) -> pending.result().onSuccess(result));
	}

	/**
	 * An item that waits for its result.
	 *
	 * @param item the item
	 * @param result receives the result
	 * @param <I> the type of the item
	 * @param <R> the type of the reply
	 */
	private record PendingItem<I, R>(I item, SingleSubject<ForwardResult<R>> result) {

	}

}
