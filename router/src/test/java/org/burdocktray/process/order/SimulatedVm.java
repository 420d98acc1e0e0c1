package org.burdocktray.process.order;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.burdocktray.connection.engine.DesiredState;
import org.burdocktray.connection.engine.LoadedModel;
import org.burdocktray.connection.engine.OrderFailure;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.process.limits.TokenBucket;

/**
 * VM of a fault simulation. While it is paused, its steps are queued and its clock
 * continues. Thread safety: none; used by one test.
 */
final class SimulatedVm {

	private final OrderFaultSimulation simulation;

	private final String name;

	private final Queue<Runnable> pausedSteps = new ArrayDeque<>();

	private OrderPlanner planner;

	private int incarnation;

	private int bundleVersion = 1;

	private boolean paused;

	private PausePoint pauseAt = PausePoint.NONE;

	private long timerNumber;

	SimulatedVm(OrderFaultSimulation simulation, String name) {
		this.simulation = simulation;
		this.name = name;
		start();
	}

	private void start() {
		String holderId = this.name + "-" + this.incarnation++;
		long startNanos = this.simulation.nowNanos;
		OrderSettings settings = this.simulation.settings;
		this.planner = new OrderPlanner(holderId, settings, new TokenBucket(4, 1, startNanos), startNanos);
	}

	void restart() {
		start();
		this.pausedSteps.clear();
		this.paused = false;
		this.pauseAt = PausePoint.NONE;
		offer(new OrderEvent.BundleChanged(this.simulation.targets(this.bundleVersion)));
	}

	void pauseAt(PausePoint point) {
		this.pauseAt = point;
	}

	void pause() {
		this.paused = true;
		this.pauseAt = PausePoint.NONE;
		int scheduledIncarnation = this.incarnation;
		this.simulation.scheduleAfter(500 + this.simulation.random(25_000), () -> {
			if (scheduledIncarnation == this.incarnation) {
				resume();
			}
		});
	}

	private void resume() {
		this.paused = false;
		while (!this.paused && !this.pausedSteps.isEmpty()) {
			this.pausedSteps.remove().run();
		}
	}

	private void execute(Runnable step) {
		if (this.paused) {
			this.pausedSteps.add(step);
			return;
		}
		step.run();
	}

	void offerBundle(int version) {
		this.bundleVersion = Math.max(this.bundleVersion, version);
		offer(new OrderEvent.BundleChanged(this.simulation.targets(this.bundleVersion)));
	}

	void offer(OrderEvent event) {
		int scheduledIncarnation = this.incarnation;
		execute(() -> {
			if (scheduledIncarnation == this.incarnation) {
				this.planner.handle(event, this.simulation.nowNanos).forEach(this::perform);
			}
		});
	}

	private void respond(long delayMillis, Supplier<OrderEvent> event) {
		int scheduledIncarnation = this.incarnation;
		this.simulation.scheduleAfter(delayMillis, () -> {
			OrderEvent response = event.get();
			if (scheduledIncarnation == this.incarnation) {
				offer(response);
			}
		});
	}

	private void perform(OrderAction action) {
		if (action instanceof OrderAction.ReadLease) {
			Supplier<OrderEvent> read = () -> (this.simulation.outage) ? new OrderEvent.LeaseReadFailed()
					: new OrderEvent.LeaseRead(this.simulation.lease);
			respond(1 + this.simulation.random(40), read);
		}
		else if (action instanceof OrderAction.WriteLease write) {
			write(write);
		}
		else if (action instanceof OrderAction.QueryLoad query) {
			DesiredState state = this.simulation.engine(query.engine()).state;
			respond(5, () -> new OrderEvent.LoadReported(query.engine().name(),
					Optional.of(new LoadedModel(state.model(), state.modelVersion()))));
		}
		else if (action instanceof OrderAction.SendOrder send) {
			dispatch(send);
		}
		else if (action instanceof OrderAction.SetTimer timer) {
			long number = ++this.timerNumber;
			long delayNanos = Math.max(0, timer.atNanos() - this.simulation.nowNanos);
			this.simulation.scheduleAfter(TimeUnit.NANOSECONDS.toMillis(delayNanos) + 1, () -> {
				if (number == this.timerNumber) {
					offer(new OrderEvent.TimerFired());
				}
			});
		}
	}

	private void write(OrderAction.WriteLease write) {
		int faultKind = (this.simulation.areFaultsEnabled()) ? this.simulation.random(10) : 9;
		if (this.simulation.outage) {
			respond(5, () -> new OrderEvent.LeaseWriteFailed(StoreError.UNAVAILABLE));
			return;
		}
		if (faultKind > 2) {
			respond(1 + this.simulation.random(40), () -> this.simulation.applyWrite(write));
			return;
		}
		if (faultKind > 0) {
			this.simulation.scheduleAfter(1 + ((faultKind > 1) ? this.simulation.random(9_000) : 0),
					() -> this.simulation.applyWrite(write));
		}
		respond(1_000, () -> new OrderEvent.LeaseWriteFailed(StoreError.UNRESOLVED));
	}

	private void dispatch(OrderAction.SendOrder send) {
		int scheduledIncarnation = this.incarnation;
		this.simulation.scheduleAfter(this.simulation.random(5), () -> {
			if (this.pauseAt == PausePoint.BEFORE_CHECK) {
				pause();
			}
			execute(() -> {
				if (scheduledIncarnation == this.incarnation) {
					checkDeadline(send);
				}
			});
		});
	}

	private void checkDeadline(OrderAction.SendOrder send) {
		String engineName = send.order().engine().name();
		if (this.simulation.checksBeforeSending && this.simulation.nowNanos > send.deadlineNanos()) {
			this.simulation.count(OrderFinding.NOT_SENT);
			offer(new OrderEvent.OrderFailed(engineName, OrderFailure.NOT_TAKEN));
			return;
		}
		boolean pausedAfterCheck = this.pauseAt == PausePoint.AFTER_CHECK;
		if (pausedAfterCheck) {
			pause();
		}
		int scheduledIncarnation = this.incarnation;
		execute(() -> {
			if (scheduledIncarnation == this.incarnation) {
				transmit(send, pausedAfterCheck);
			}
		});
	}

	private void transmit(OrderAction.SendOrder send, boolean pausedAfterCheck) {
		boolean late = this.simulation.unprovableFaults && this.simulation.areFaultsEnabled()
				&& this.simulation.random(10) == 0;
		boolean slow = this.simulation.areFaultsEnabled() && this.simulation.random(4) == 0;
		long delayMillis = 1 + this.simulation.random((slow) ? (int) OrderFaultSimulation.ORDER_TIMEOUT_MILLIS : 20);
		long arrivalDelayMillis = delayMillis
				+ ((late) ? OrderFaultSimulation.ORDER_TIMEOUT_MILLIS + this.simulation.random(15_000) : 0);
		OrderFaultSimulation.SimulatedEngine engine = this.simulation.engine(send.order().engine());
		String name = send.order().engine().name();
		boolean responseLost = late || (this.simulation.areFaultsEnabled() && this.simulation.random(10) == 0);
		Supplier<OrderEvent> effect = () -> engine.accept(send.order(), pausedAfterCheck || late);
		if (responseLost) {
			this.simulation.scheduleAfter(arrivalDelayMillis, effect::get);
			respond(OrderFaultSimulation.ORDER_TIMEOUT_MILLIS,
					() -> new OrderEvent.OrderFailed(name, OrderFailure.UNRESOLVED));
			return;
		}
		respond(arrivalDelayMillis, effect);
	}

	enum PausePoint {

		NONE, BEFORE_CHECK, AFTER_CHECK

	}

}
