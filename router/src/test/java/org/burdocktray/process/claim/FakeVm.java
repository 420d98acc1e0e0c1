package org.burdocktray.process.claim;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Scheduler;

/**
 * A VM of a run that can be paused and killed. Thread safety: confined to the thread of
 * the virtual time.
 */
final class FakeVm {

	private final String name;

	private final String dataCentre;

	private final PausableScheduler scheduler;

	private final ClaimRegistry registry;

	private long lastPausedNanos = -1;

	FakeVm(String name, String dataCentre, Scheduler time, Function<FakeVm, ClaimRegistry> registryFactory) {
		this.name = name;
		this.dataCentre = dataCentre;
		this.scheduler = new PausableScheduler(time);
		this.registry = registryFactory.apply(this);
	}

	String name() {
		return this.name;
	}

	String dataCentre() {
		return this.dataCentre;
	}

	PausableScheduler scheduler() {
		return this.scheduler;
	}

	ClaimRegistry registry() {
		return this.registry;
	}

	ClaimClock clock() {
		return () -> new ClaimTime(this.scheduler.now(TimeUnit.NANOSECONDS), this.scheduler.now(TimeUnit.SECONDS));
	}

	void pauseFor(long millis) {
		this.scheduler.pause();
		this.scheduler.time().scheduleDirect(() -> {
			this.lastPausedNanos = this.scheduler.now(TimeUnit.NANOSECONDS);
			this.scheduler.resume();
		}, millis, TimeUnit.MILLISECONDS);
	}

	boolean wasStoppedSince(long nanos) {
		return this.scheduler.isKilled() || this.scheduler.isPaused() || this.lastPausedNanos >= nanos;
	}

	static List<String> names(List<FakeVm> vms) {
		return vms.stream().map(FakeVm::name).toList();
	}

}
