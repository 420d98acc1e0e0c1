package org.burdocktray.process.order;

import java.util.List;
import java.util.Optional;

import org.burdocktray.connection.engine.LoadedModel;
import org.burdocktray.connection.engine.OrderFailure;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;

/**
 * What happens to a holder. Thread safety: immutable.
 */
sealed interface OrderEvent {

	/**
	 * The lease was read.
	 *
	 * @param object the object, empty when it does not exist
	 */
	record LeaseRead(Optional<StoredObject> object) implements OrderEvent {

	}

	/**
	 * The lease could not be read.
	 */
	record LeaseReadFailed() implements OrderEvent {

	}

	/**
	 * The lease was written.
	 *
	 * @param object the stored object
	 */
	record LeaseWritten(StoredObject object) implements OrderEvent {

	}

	/**
	 * The write of the lease was not applied, or its answer is lost.
	 *
	 * @param error the error
	 */
	record LeaseWriteFailed(StoreError error) implements OrderEvent {

	}

	/**
	 * An engine was asked what it holds.
	 *
	 * @param engineName the engine
	 * @param holding what it holds; empty when it did not answer
	 */
	record LoadReported(String engineName, Optional<LoadedModel> holding) implements OrderEvent {

	}

	/**
	 * An engine took an order.
	 *
	 * @param engineName the engine
	 */
	record OrderAccepted(String engineName) implements OrderEvent {

	}

	/**
	 * An order is not known to be taken.
	 *
	 * @param engineName the engine
	 * @param failure why
	 */
	record OrderFailed(String engineName, OrderFailure failure) implements OrderEvent {

	}

	/**
	 * A bundle is in force.
	 *
	 * @param targets the engines of the group and their wanted states
	 */
	record BundleChanged(List<OrderTarget> targets) implements OrderEvent {

	}

	/**
	 * The time of the last timer has come.
	 */
	record TimerFired() implements OrderEvent {

	}

}
