package org.burdocktray.connection.engine;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.version.bundle.Engine;

/**
 * Orders engines to a state. No call ends with an error signal. Thread safety:
 * implementations can be called from any thread.
 */
public interface EngineOrderClient {

	/**
	 * Sends an order.
	 * @param order the order
	 * @param timeoutMillis how long to wait for the connection and for the answer
	 * @param maySend asked as the last step before the order is written to its
	 * connection; when false, the order is not sent
	 * @return the state that the engine took, or why it is not known to be taken
	 */
	Single<Either<OrderFailure, DesiredState>> sendOrder(EngineOrder order, long timeoutMillis,
			BooleanSupplier maySend);

	/**
	 * Asks an engine what it holds.
	 * @param engine the engine
	 * @param timeoutMillis how long to wait
	 * @return what it holds; empty when there is no answer in time
	 */
	Single<Optional<LoadedModel>> fetchLoadedModel(Engine engine, long timeoutMillis);

}
