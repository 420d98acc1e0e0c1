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
 * Collects items of one shard over a short interval and sends them as a batch. Thread safety: can be called from
 * any thread.
 *
 * @param <I> the type of the items
 * @param <R> the type of the reply to one item
 */
final class ForwardBatcher<I, R> {

	private static final long LINGER_MILLIS = 2;

	private final Scheduler scheduler;

	private final Function<I, String> claimId;

	private final Function<List<I>, Maybe<Map<String, R>>> send;

	private List<Waiting<I, R>> queue = new ArrayList<>();

	ForwardBatcher(Scheduler scheduler, Function<I, String> claimIdOf, Function<List<I>, Maybe<Map<String, R>>> send) {
		this.scheduler = scheduler;
		this.claimId = claimIdOf;
		this.send = send;
	}

	Single<ForwardResult<R>> submit(I item, long timeoutMillis) {
		return Single.defer(() -> {
			SingleSubject<ForwardResult<R>> result = SingleSubject.create();
			if (enqueue(new Waiting<>(item, result))) {
				this.scheduler.scheduleDirect(this::flush, LINGER_MILLIS, TimeUnit.MILLISECONDS);
			}
			return result.timeout(timeoutMillis, TimeUnit.MILLISECONDS, this.scheduler,
					Single.just(new ForwardResult.Lost<>()));
		});
	}

	private synchronized boolean enqueue(Waiting<I, R> pending) {
		this.queue.add(pending);
		return this.queue.size() == 1;
	}

	private synchronized List<Waiting<I, R>> drainQueue() {
		List<Waiting<I, R>> drained = this.queue;
		this.queue = new ArrayList<>();
		return drained;
	}

	private void flush() {
		List<Waiting<I, R>> batch = drainQueue();
		this.send.apply(batch.stream().map(Waiting::item).toList())
			.subscribe((replies) -> answer(batch, replies), (error) -> answerAll(batch, new ForwardResult.Lost<>()),
					() -> answerAll(batch, new ForwardResult.NotSent<>()));
	}

	private void answer(List<Waiting<I, R>> batch, Map<String, R> replies) {
		for (Waiting<I, R> pending : batch) {
			Optional<R> reply = Optional.ofNullable(replies.get(this.claimId.apply(pending.item())));
			pending.answer()
				.onSuccess(
						reply.<ForwardResult<R>>map(ForwardResult.Answered::new).orElseGet(ForwardResult.Lost::new));
		}
	}

	private void answerAll(List<Waiting<I, R>> batch, ForwardResult<R> result) {
		batch.forEach((pending) -> pending.answer().onSuccess(result));
	}

	/**
	 * An item that waits for its result.
	 *
	 * @param item the item
	 * @param answer receives the result
	 * @param <I> the type of the item
	 * @param <R> the type of the reply
	 */
	private record Waiting<I, R>(I item, SingleSubject<ForwardResult<R>> answer) {

	}

}
