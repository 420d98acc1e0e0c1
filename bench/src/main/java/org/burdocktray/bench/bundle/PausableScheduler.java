package org.burdocktray.bench.bundle;

import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;

/**
 * A scheduler for a VM whose process can be paused: tasks that fall due during a pause
 * run at its end, in order. Thread safety: one thread.
 */
final class PausableScheduler extends Scheduler {

	private final TestScheduler scheduler;

	private long pausedUntilMillis;

	PausableScheduler(TestScheduler scheduler) {
		this.scheduler = scheduler;
	}

	void pause(long millis) {
		this.pausedUntilMillis = this.scheduler.now(TimeUnit.MILLISECONDS) + millis;
	}

	boolean isPaused() {
		return this.scheduler.now(TimeUnit.MILLISECONDS) < this.pausedUntilMillis;
	}

	@Override
	public long now(TimeUnit unit) {
		return this.scheduler.now(unit);
	}

	@Override
	public Worker createWorker() {
		return new PausableWorker(this.scheduler.createWorker());
	}

	/**
	 * Defers tasks to the end of a pause.
	 */
	private final class PausableWorker extends Worker {

		private final Worker delegate;

		PausableWorker(Worker delegate) {
			this.delegate = delegate;
		}

		@Override
		public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
			return this.delegate.schedule(() -> runOrDefer(task), delay, unit);
		}

		private void runOrDefer(Runnable task) {
			if (!isPaused()) {
				task.run();
				return;
			}
			long remainingMillis = PausableScheduler.this.pausedUntilMillis
					- PausableScheduler.this.scheduler.now(TimeUnit.MILLISECONDS);
			this.delegate.schedule(() -> runOrDefer(task), remainingMillis, TimeUnit.MILLISECONDS);
		}

		@Override
		public void dispose() {
			this.delegate.dispose();
		}

		@Override
		public boolean isDisposed() {
			return this.delegate.isDisposed();
		}

	}

}
