package org.burdocktray.process.serve;

import java.util.concurrent.atomic.AtomicLong;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;

/**
 * Counts the requests in progress and rejects new ones during a shutdown. Invariant:
 * after {@link #close()} no request enters, and {@link #drained()} completes once the
 * last one has left. Thread safety: lock-free; the sign bit of the counter marks the
 * closed state.
 */
final class RequestsInProgress {

	private static final long CLOSED = Long.MIN_VALUE;

	private final AtomicLong state = new AtomicLong();

	private final CompletableSubject drained = CompletableSubject.create();

	/**
	 * Counts a request as in progress unless closed.
	 * @return whether the request may proceed; when true, {@link #leave()} must be called
	 * once the request has ended
	 */
	boolean tryEnter() {
		long previous = this.state.getAndUpdate((count) -> (count < 0) ? count : count + 1);
		return previous >= 0;
	}

	/** Removes a request that has ended from the count. */
	void leave() {
		if (this.state.decrementAndGet() == CLOSED) {
			this.drained.onComplete();
		}
	}

	/** Rejects all further requests. */
	void close() {
		long previous = this.state.getAndUpdate((count) -> count | CLOSED);
		if (previous == 0) {
			this.drained.onComplete();
		}
	}

	boolean isClosed() {
		return this.state.get() < 0;
	}

	long count() {
		return this.state.get() & ~CLOSED;
	}

	/**
	 * Returns a completion signal for the shutdown.
	 * @return completes after {@link #close()}, when no request is in progress
	 */
	Completable drained() {
		return this.drained;
	}

}
