package org.burdocktray.process.claim;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;

/**
 * Runs the tasks of one VM in virtual time. While the VM is paused, due tasks are
 * deferred; after it is killed, they are dropped. Thread safety: confined to the thread
 * of the virtual time.
 */
final class PausableScheduler extends Scheduler {

	private final Scheduler time;

	private final Queue<Runnable> deferredTasks = new ArrayDeque<>();

	private boolean paused;

	private boolean killed;

	PausableScheduler(Scheduler time) {
		this.time = time;
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		while (!this.paused && !this.deferredTasks.isEmpty()) {
			run(this.deferredTasks.remove());
		}
	}

	void kill() {
		this.killed = true;
		this.deferredTasks.clear();
	}

	Scheduler time() {
		return this.time;
	}

	boolean isKilled() {
		return this.killed;
	}

	boolean isPaused() {
		return this.paused;
	}

	void run(Runnable task) {
		if (this.killed) {
			return;
		}
		if (this.paused) {
			this.deferredTasks.add(task);
			return;
		}
		task.run();
	}

	void runAfter(long delayMillis, Runnable task) {
		this.time.scheduleDirect(() -> run(task), delayMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public long now(TimeUnit unit) {
		return this.time.now(unit);
	}

	@Override
	public Worker createWorker() {
		return new PausableWorker(this.time.createWorker());
	}

	private final class PausableWorker extends Worker {

		private final Worker delegate;

		PausableWorker(Worker delegate) {
			this.delegate = delegate;
		}

		@Override
		public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
			Disposable handle = Disposable.empty();
			Runnable guardedTask = () -> {
				if (!handle.isDisposed()) {
					task.run();
				}
			};
			this.delegate.schedule(() -> PausableScheduler.this.run(guardedTask), delay, unit);
			return handle;
		}

		@Override
		public long now(TimeUnit unit) {
			return this.delegate.now(unit);
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
