package org.burdocktray.process.order;

import java.util.OptionalLong;

import org.burdocktray.connection.engine.EngineOrder;
import org.burdocktray.version.bundle.Engine;

/**
 * What a holder wants done. Thread safety: immutable.
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
	 * @param value the value
	 */
	record WriteLease(OptionalLong expectedVersion, String value) implements OrderAction {

	}

	/**
	 * Ask an engine what it holds.
	 *
	 * @param engine the engine
	 */
	record QueryLoad(Engine engine) implements OrderAction {

	}

	/**
	 * Send an order, unless it is too late.
	 *
	 * @param order the order
	 * @param deadlineNanos the last monotonic time at which it may be sent; to be
	 * compared as the last step before it is sent
	 */
	record SendOrder(EngineOrder order, long deadlineNanos) implements OrderAction {

	}

	/**
	 * Send {@link OrderEvent.TimerFired} at a time; replaces the earlier timer.
	 *
	 * @param atNanos the monotonic time
	 */
	record SetTimer(long atNanos) implements OrderAction {

	}

}
