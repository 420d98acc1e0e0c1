package org.burdocktray.process.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;

/**
 * What engines were ordered to hold. An order without an answer may be carried out
 * seconds later; until then, or until the engine has begun another order, no further
 * order is sent to it. Invariants: one order an engine at a time; what is known of an
 * engine ends with its start. Thread safety: none, confined to one event loop.
 */
public final class OrderTracker {

	/** How long an order without an answer may still be carried out. */
	private static final long UNRESOLVED_NANOS = TimeUnit.SECONDS.toNanos(13);

	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** How long an accepted order may take until the engine's entry shows its layers. */
	private static final long EFFECT_NANOS = TimeUnit.SECONDS.toNanos(20);

	private final Map<String, Order> orders = new HashMap<>();

	/**
	 * Returns an engine with the layers that it will hold.
	 * @param engine the engine as it registered itself
	 * @param nowNanos the time
	 * @return the engine with the layers it is ordered to hold, if that is open
	 */
	public Replica withExpectedLayers(Replica engine, long nowNanos) {
		Order order = current(engine).orElse(null);
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
	 * Begins an order unless one is open.
	 * @param engine the engine
	 * @param layers the layers to hold
	 * @param nowNanos the time
	 * @return whether the engine may be asked for its state
	 */
	public boolean begin(Replica engine, LayerRange layers, long nowNanos) {
		Order open = current(engine).orElse(null);
		if (open != null && (open.inProgress || nowNanos - open.notBeforeNanos < 0)) {
			return false;
		}
		Order order = (open != null) ? open : new Order(engine.startedAtMillis());
		order.layers = layers;
		order.inProgress = true;
		order.accepted = false;
		this.orders.put(engine.id(), order);
		return true;
	}

	/**
	 * Tells whether an order may be sent to an engine in the state it reports.
	 * @param engine the engine
	 * @param report its report
	 * @param nowNanos the time
	 * @return whether it carries out no order and no earlier one may still reach it
	 */
	public boolean canSend(Replica engine, LoadReport report, long nowNanos) {
		Order order = current(engine).orElse(null);
		if (order == null || report.orderInProgress() || report.startedAtMillis() != engine.startedAtMillis()) {
			return false;
		}
		boolean isPassed = nowNanos - order.unresolvedUntilNanos >= 0
				|| report.orderSequence() > order.unresolvedSequence;
		return !order.unresolved || isPassed;
	}

	/**
	 * Notes that an order is about to be sent.
	 * @param engine the engine
	 * @param report the state on which it was decided
	 * @param nowNanos the time
	 */
	public void recordSend(Replica engine, LoadReport report, long nowNanos) {
		current(engine).ifPresent((order) -> {
			order.unresolved = true;
			order.unresolvedSequence = report.orderSequence();
			order.unresolvedUntilNanos = nowNanos + UNRESOLVED_NANOS;
		});
	}

	/**
	 * Notes what became of an order.
	 * @param engine the engine
	 * @param accepted whether it is, or may be, carried out
	 * @param unresolved whether there was no answer
	 * @param nowNanos the time
	 */
	public void recordOutcome(Replica engine, boolean accepted, boolean unresolved, long nowNanos) {
		current(engine).ifPresent((order) -> {
			order.inProgress = false;
			order.accepted = accepted && !unresolved;
			order.unresolved = unresolved;
			order.notBeforeNanos = nowNanos + (order.accepted ? EFFECT_NANOS : RETRY_NANOS);
		});
	}

	/**
	 * Notes that an order was not sent.
	 * @param engine the engine
	 * @param nowNanos the time
	 */
	public void defer(Replica engine, long nowNanos) {
		current(engine).ifPresent((order) -> {
			order.inProgress = false;
			order.notBeforeNanos = nowNanos + RETRY_NANOS;
		});
	}

	private Optional<Order> current(Replica engine) {
		Order order = this.orders.get(engine.id());
		if (order != null && order.bornMillis != engine.startedAtMillis()) {
			this.orders.remove(engine.id());
			return Optional.empty();
		}
		return Optional.ofNullable(order);
	}

	private static final class Order {

		private final long bornMillis;

		private LayerRange layers;

		private boolean inProgress;

		private boolean accepted;

		private boolean unresolved;

		private long unresolvedSequence;

		private long unresolvedUntilNanos;

		private long notBeforeNanos = Long.MIN_VALUE / 2;

		Order(long bornMillis) {
			this.bornMillis = bornMillis;
		}

	}

}
