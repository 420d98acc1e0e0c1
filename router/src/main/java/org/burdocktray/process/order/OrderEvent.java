package org.burdocktray.process.order;

import java.util.List;
import java.util.Optional;

import org.burdocktray.connection.engine.LoadedModel;
import org.burdocktray.connection.engine.OrderFailure;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;

/**
 * Event handled by an {@link OrderPlanner}. Thread safety: immutable.
 */
sealed interface OrderEvent {

	/**
	 * The lease was read.
	 *
	 * @param object the stored lease, empty when it does not exist
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
	 * @param object the stored lease
	 */
	record LeaseWritten(StoredObject object) implements OrderEvent {

	}

	/**
	 * The write of the lease was not applied, or its response was lost.
	 *
	 * @param error the error
	 */
	record LeaseWriteFailed(StoreError error) implements OrderEvent {

	}

	/**
	 * A load query to an engine ended.
	 *
	 * @param engineName the engine
	 * @param loadedModel the loaded model, empty when the engine did not respond
	 */
	record LoadReported(String engineName, Optional<LoadedModel> loadedModel) implements OrderEvent {

	}

	/**
	 * An engine accepted an order.
	 *
	 * @param engineName the engine
	 */
	record OrderAccepted(String engineName) implements OrderEvent {

	}

	/**
	 * An order failed, or its outcome is unknown.
	 *
	 * @param engineName the engine
	 * @param failure the reason
	 */
	record OrderFailed(String engineName, OrderFailure failure) implements OrderEvent {

	}

	/**
	 * A bundle came into force.
	 *
	 * @param targets the engines of the group and their desired states
	 */
	record BundleChanged(List<OrderTarget> targets) implements OrderEvent {

	}

	/**
	 * The last timer set by {@link OrderAction.SetTimer} expired.
	 */
	record TimerFired() implements OrderEvent {

	}

}
