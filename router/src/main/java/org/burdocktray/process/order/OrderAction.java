package org.burdocktray.process.order;

import java.util.Optional;

import org.burdocktray.connection.engine.EngineOrder;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.version.bundle.Engine;

/**
 * Action requested by an {@link OrderPlanner}. Thread safety: immutable.
 */
sealed interface OrderAction {

	/**
	 * Read the lease.
	 */
	record ReadLease() implements OrderAction {

	}

	/**
	 * Write the lease.
	 *
	 * @param expectedVersion the version to replace; empty when the lease is created
	 * @param value the value to store
	 */
	record WriteLease(Optional<StoreRevision> expectedVersion, String value) implements OrderAction {

	}

	/**
	 * Query an engine for the model that it has loaded.
	 *
	 * @param engine the engine
	 */
	record QueryLoad(Engine engine) implements OrderAction {

	}

	/**
	 * Send an order unless its deadline has passed.
	 *
	 * @param order the order
	 * @param deadlineNanos the last monotonic time at which the order may be sent, to be
	 * checked immediately before sending
	 */
	record SendOrder(EngineOrder order, long deadlineNanos) implements OrderAction {

	}

	/**
	 * Emit {@link OrderEvent.TimerFired} at a time; replaces the previous timer.
	 *
	 * @param atNanos the monotonic time
	 */
	record SetTimer(long atNanos) implements OrderAction {

	}

}
