package org.burdocktray.process.order;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.burdocktray.connection.engine.EngineOrder;
import org.burdocktray.connection.engine.OrderFailure;
import org.burdocktray.process.limits.TokenBucket;

/**
 * Plans the orders to the engines of one replica group. Each order carries the complete
 * desired state and the fencing number of the lease.
 * <p>
 * Guarantees: an engine that checks fencing numbers refuses the orders of an earlier
 * holder. For an engine that ignores them, an order is sent only while the lease remains
 * valid for the order timeout, and a new holder waits for the time to live of the lease
 * plus the order timeout. An order that reaches the engine within its timeout therefore
 * takes effect before the next holder starts.
 * <p>
 * Limits for engines that ignore fencing numbers: a holder may be paused between its last
 * check of the clock and the first byte it sends, a packet may be delivered after the
 * order timeout, and a machine may be suspended together with its monotonic clock. The
 * effect is bounded: such an order carries the desired state of a bundle that was in
 * force, and the next holder repeats its order when the engine reports another model or
 * version, and in any case after {@link OrderSettings#reaffirmMillis()}.
 * <p>
 * Thread safety: confined to one thread at a time.
 */
final class OrderPlanner {

	private static final double ORDER_COST = 1;

	private final OrderSettings settings;

	private final LeaseKeeper lease;

	private final TokenBucket budget;

	private final Map<String, EngineOrderState> engines = new LinkedHashMap<>();

	private long lastTenure;

	/**
	 * Creates the planner of a group whose lease this VM may hold.
	 * @param holder the id of this process, unique across restarts
	 * @param settings the intervals and timeouts
	 * @param budget this VM's share of the fleet's order rate, shared by all its groups
	 * @param nowNanos the time
	 */
	OrderPlanner(String holder, OrderSettings settings, TokenBucket budget, long nowNanos) {
		this.settings = settings;
		this.lease = new LeaseKeeper(holder, settings, nowNanos);
		this.budget = budget;
	}

	/**
	 * Handles an event.
	 * @param event the event
	 * @param nowNanos the monotonic time
	 * @return the actions to perform
	 */
	List<OrderAction> handle(OrderEvent event, long nowNanos) {
		apply(event, nowNanos);
		resetOrdersOnTakeover(nowNanos);
		List<OrderAction> actions = new ArrayList<>();
		this.lease.nextCall(nowNanos).ifPresent(actions::add);
		OptionalLong fencingNumber = this.lease.fencingNumber(nowNanos);
		long dueNanos = this.lease.nextDueNanos().orElse(Long.MAX_VALUE);
		if (fencingNumber.isPresent()) {
			for (EngineOrderState engine : this.engines.values()) {
				callEngine(engine, fencingNumber.getAsLong(), nowNanos).ifPresent(actions::add);
				dueNanos = Math.min(dueNanos, nextDueNanos(engine, nowNanos));
			}
		}
		if (dueNanos != Long.MAX_VALUE) {
			actions.add(new OrderAction.SetTimer(dueNanos));
		}
		return actions;
	}

	private void apply(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.LeaseRead read) {
			this.lease.onRead(read.object(), nowNanos);
		}
		else if (event instanceof OrderEvent.LeaseReadFailed) {
			this.lease.onReadFailed(nowNanos);
		}
		else if (event instanceof OrderEvent.LeaseWritten written) {
			this.lease.onWritten(written.object(), nowNanos);
		}
		else if (event instanceof OrderEvent.LeaseWriteFailed failed) {
			this.lease.onWriteFailed(failed.error(), nowNanos);
		}
		else if (event instanceof OrderEvent.BundleChanged changed) {
			replaceTargets(changed.targets(), nowNanos);
		}
		else {
			applyEngineEvent(event, nowNanos);
		}
	}

	private void applyEngineEvent(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.LoadReported report) {
			updateEngine(report.engineName(), (engine) -> engine.recordLoadReport(report.loadedModel()));
		}
		else if (event instanceof OrderEvent.OrderAccepted accepted) {
			updateEngine(accepted.engineName(), (engine) -> engine.recordOrderAccepted(nowNanos));
		}
		else if (event instanceof OrderEvent.OrderFailed failed) {
			updateEngine(failed.engineName(), EngineOrderState::recordOrderFailed);
			if (failed.failure() == OrderFailure.FENCED) {
				this.lease.requestRead(nowNanos);
			}
		}
	}

	private void updateEngine(String engineName, Consumer<EngineOrderState> change) {
		Optional.ofNullable(this.engines.get(engineName)).ifPresent(change);
	}

	private void replaceTargets(List<OrderTarget> targets, long nowNanos) {
		this.engines.keySet().retainAll(targets.stream().map((target) -> target.engine().name()).toList());
		for (OrderTarget target : targets) {
			this.engines
				.computeIfAbsent(target.engine().name(),
						(name) -> new EngineOrderState(target, this.settings, nowNanos))
				.replaceTarget(target, nowNanos);
		}
	}

	private void resetOrdersOnTakeover(long nowNanos) {
		if (this.lastTenure == this.lease.tenure()) {
			return;
		}
		this.lastTenure = this.lease.tenure();
		this.engines.values().forEach((engine) -> engine.resetOrder(nowNanos));
	}

	private Optional<OrderAction> callEngine(EngineOrderState engine, long fencingNumber, long nowNanos) {
		OrderTarget target = engine.target();
		if (engine.isOrderDue(nowNanos) && this.budget.waitNanos(ORDER_COST, nowNanos) <= 0) {
			this.budget.consume(ORDER_COST);
			engine.recordOrderSent(nowNanos);
			EngineOrder order = new EngineOrder(target.engine(), target.desired(), fencingNumber);
			return Optional.of(new OrderAction.SendOrder(order, this.lease.orderDeadlineNanos()));
		}
		if (engine.isLoadQueryDue(nowNanos)) {
			engine.recordLoadQuerySent(nowNanos);
			return Optional.of(new OrderAction.QueryLoad(target.engine()));
		}
		return Optional.empty();
	}

	// An engine that is due but was not called waits for the order budget.
	private long nextDueNanos(EngineOrderState engine, long nowNanos) {
		long dueNanos = engine.nextDueNanos().orElse(Long.MAX_VALUE);
		if (dueNanos > nowNanos) {
			return dueNanos;
		}
		return nowNanos + (long) Math.ceil(this.budget.waitNanos(ORDER_COST, nowNanos));
	}

}
