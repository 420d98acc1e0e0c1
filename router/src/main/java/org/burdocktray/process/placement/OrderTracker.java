package org.burdocktray.process.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;

/**
 * Tracks the orders that were sent to engines. An order without a response may still be
 * executed seconds later. No further order is sent to the engine until that time has
 * passed or the engine has started another order. Invariants: at most one order per
 * engine is in progress; the state of an engine is dropped when it restarts. Thread
 * safety: none, confined to one event loop.
 */
public final class OrderTracker {

	/** How long after sending an order without a response may still be executed. */
	private static final long UNRESOLVED_NANOS = TimeUnit.SECONDS.toNanos(13);

	private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Time limit for the layers of an accepted order to appear in the engine's entry. */
	private static final long EFFECT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

	private final Map<String, Order> orders = new HashMap<>();

	/**
	 * Returns an engine with the layers that it is expected to hold.
	 * @param engine the engine as registered
	 * @param nowNanos the current time of the monotonic clock
	 * @return the engine with the layers of its pending order, or unchanged without one
	 */
	public Replica withExpectedLayers(Replica engine, long nowNanos) {
		Order order = currentOrder(engine).orElse(null);
		if (order == null || !(order.accepted || order.inProgress)) {
			return engine;
		}
		boolean isDone = engine.layers().isPresent() && engine.layers().get().equals(order.layers);
		boolean isOverdue = order.accepted && nowNanos - order.notBeforeNanos >= 0;
		if (isDone || isOverdue) {
			this.orders.remove(engine.id());
			return engine;
		}
		return engine.withLayers(Optional.of(order.layers));
	}

	/**
	 * Starts an order unless one is in progress or the delay after the last one has not
	 * passed.
	 * @param engine the engine
	 * @param layers the layers to hold
	 * @param nowNanos the current time of the monotonic clock
	 * @return whether the order was started; the caller then queries the engine's state
	 */
	public boolean begin(Replica engine, LayerRange layers, long nowNanos) {
		Order pending = currentOrder(engine).orElse(null);
		if (pending != null && (pending.inProgress || nowNanos - pending.notBeforeNanos < 0)) {
			return false;
		}
		Order order = (pending != null) ? pending : new Order(engine.startedAtMillis());
		order.layers = layers;
		order.inProgress = true;
		order.accepted = false;
		this.orders.put(engine.id(), order);
		return true;
	}

	/**
	 * Returns whether the order may be sent to an engine in its reported state.
	 * @param engine the engine
	 * @param report the current report of the engine
	 * @param nowNanos the current time of the monotonic clock
	 * @return true if the report is of the same instance, the engine executes no order
	 * and no earlier order can still arrive
	 */
	public boolean canSend(Replica engine, LoadReport report, long nowNanos) {
		Order order = currentOrder(engine).orElse(null);
		if (order == null || report.orderInProgress() || report.startedAtMillis() != engine.startedAtMillis()) {
			return false;
		}
		boolean isObsolete = nowNanos - order.unresolvedUntilNanos >= 0
				|| report.orderSequence() > order.unresolvedSequence;
		return !order.unresolved || isObsolete;
	}

	/**
	 * Records that the order is about to be sent.
	 * @param engine the engine
	 * @param report the engine state that the order is based on
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordSend(Replica engine, LoadReport report, long nowNanos) {
		currentOrder(engine).ifPresent((order) -> {
			order.unresolved = true;
			order.unresolvedSequence = report.orderSequence();
			order.unresolvedUntilNanos = nowNanos + UNRESOLVED_NANOS;
		});
	}

	/**
	 * Records the outcome of a sent order.
	 * @param engine the engine
	 * @param accepted whether the order is or may be executed
	 * @param unresolved whether there was no response
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordOutcome(Replica engine, boolean accepted, boolean unresolved, long nowNanos) {
		currentOrder(engine).ifPresent((order) -> {
			order.inProgress = false;
			order.accepted = accepted && !unresolved;
			order.unresolved = unresolved;
			order.notBeforeNanos = nowNanos + (order.accepted ? EFFECT_TIMEOUT_NANOS : RETRY_DELAY_NANOS);
		});
	}

	/**
	 * Records that the order was not sent and delays the next try.
	 * @param engine the engine
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void defer(Replica engine, long nowNanos) {
		currentOrder(engine).ifPresent((order) -> {
			order.inProgress = false;
			order.notBeforeNanos = nowNanos + RETRY_DELAY_NANOS;
		});
	}

	private Optional<Order> currentOrder(Replica engine) {
		Order order = this.orders.get(engine.id());
		if (order != null && order.startedAtMillis != engine.startedAtMillis()) {
			this.orders.remove(engine.id());
			return Optional.empty();
		}
		return Optional.ofNullable(order);
	}

	private static final class Order {

		private final long startedAtMillis;

		private LayerRange layers;

		private boolean inProgress;

		private boolean accepted;

		private boolean unresolved;

		private long unresolvedSequence;

		private long unresolvedUntilNanos;

		private long notBeforeNanos = Long.MIN_VALUE / 2;

		Order(long startedAtMillis) {
			this.startedAtMillis = startedAtMillis;
		}

	}

}
