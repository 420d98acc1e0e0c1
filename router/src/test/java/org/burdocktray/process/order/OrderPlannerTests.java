package org.burdocktray.process.order;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.engine.DesiredState;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.limits.TokenBucket;
import org.burdocktray.version.bundle.Engine;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OrderPlannerTests {

	private static final OrderSettings SETTINGS = new OrderSettings(6_000, 2_000, 2_000, 1_000, 1_000, 2_000, 20_000);

	private final OrderPlanner planner = new OrderPlanner("vm1-1", SETTINGS, new TokenBucket(1, 1, 0), 0);

	@Test
	void takesOverOnlyAfterTimeToLiveAndOrderTimeout() {
		handle(new OrderEvent.BundleChanged(List.of()), 0);
		assertThat(handle(leaseRead("vm2-1"), 100)).noneMatch(OrderAction.WriteLease.class::isInstance);
		handle(new OrderEvent.TimerFired(), 8_099);
		assertThat(handle(leaseRead("vm2-1"), 8_099)).noneMatch(OrderAction.WriteLease.class::isInstance);
		handle(new OrderEvent.TimerFired(), 9_099);
		assertThat(handle(leaseRead("vm2-1"), 9_100)).anyMatch(OrderAction.WriteLease.class::isInstance);
	}

	@Test
	void orderDeadlineLeavesTheOrderTimeoutBeforeLeaseExpiryAndOrdersAreRateLimited() {
		handle(new OrderEvent.BundleChanged(List.of(target("e1"), target("e2"))), 0);
		handle(new OrderEvent.LeaseRead(Optional.empty()), 100);
		List<OrderAction> actions = handle(new OrderEvent.LeaseWritten(storedLease("vm1-1")), 400);
		assertThat(actions).filteredOn(OrderAction.SendOrder.class::isInstance).singleElement().satisfies((action) -> {
			OrderAction.SendOrder send = (OrderAction.SendOrder) action;
			assertThat(send.order().fencingNumber()).isEqualTo(7);
			assertThat(send.deadlineNanos()).isEqualTo(nanos(100 + 6_000 - 2_000));
		});
		assertThat(handle(new OrderEvent.LoadReported("e2", Optional.empty()), 1_399))
			.noneMatch(OrderAction.SendOrder.class::isInstance);
		assertThat(handle(new OrderEvent.TimerFired(), 1_400)).anyMatch(OrderAction.SendOrder.class::isInstance);
	}

	@Test
	void unresolvedWriteHoldsTheLeaseFromItsSendTime() {
		handle(new OrderEvent.BundleChanged(List.of(target("e1"))), 0);
		handle(new OrderEvent.LeaseRead(Optional.empty()), 100);
		assertThat(handle(new OrderEvent.LeaseWriteFailed(StoreError.UNRESOLVED), 1_100))
			.contains(new OrderAction.ReadLease());
		assertThat(handle(leaseRead("vm1-1"), 1_200)).filteredOn(OrderAction.SendOrder.class::isInstance)
			.extracting((action) -> ((OrderAction.SendOrder) action).deadlineNanos())
			.containsExactly(nanos(100 + 6_000 - 2_000));
	}

	@Test
	void takeoverRepeatsOrdersAcceptedInAnEarlierTenure() {
		handle(new OrderEvent.BundleChanged(List.of(target("e1"))), 0);
		handle(new OrderEvent.LeaseRead(Optional.empty()), 100);
		handle(new OrderEvent.LeaseWritten(storedLease("vm1-1")), 200);
		handle(new OrderEvent.OrderAccepted("e1"), 300);
		handle(new OrderEvent.LeaseWriteFailed(StoreError.CONFLICT), 2_200);
		handle(leaseRead("vm2-1"), 2_300);
		handle(new OrderEvent.LoadReported("e1", Optional.empty()), 2_310);
		assertThat(handle(leaseRead("vm2-1"), 10_300)).anyMatch(OrderAction.WriteLease.class::isInstance);
		assertThat(handle(new OrderEvent.LeaseWritten(storedLease("vm1-1")), 10_400))
			.anyMatch(OrderAction.SendOrder.class::isInstance);
	}

	private List<OrderAction> handle(OrderEvent event, long nowMillis) {
		return this.planner.handle(event, nanos(nowMillis));
	}

	private static OrderEvent leaseRead(String holder) {
		return new OrderEvent.LeaseRead(Optional.of(storedLease(holder)));
	}

	private static StoredObject storedLease(String holder) {
		return new StoredObject("lease", 7, OrderLease.toStoredValue(holder, SETTINGS.ttlMillis(), 1));
	}

	private static OrderTarget target(String name) {
		Engine engine = new Engine(name, new DataCentre("ghent"), new NetworkAddress("127.0.0.1", 9000), "panel-7b", 0,
				12, "a", 100, 8, List.of(), true);
		return new OrderTarget(engine, new DesiredState("panel-7b", "4", List.of(), 0, 12, DesiredState.DECODE));
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
