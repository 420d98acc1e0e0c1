package org.burdocktray.connection.engine;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.version.bundle.Engine;

/**
 * A client for sending orders to engines. No call terminates with an error signal. Thread
 * safety: implementations can be called from any thread.
 */
public interface EngineOrderClient {

	/**
	 * Sends an order.
	 * @param order the order
	 * @param timeoutMillis the timeout for connecting and for the response
	 * @param canSend evaluated as the last step before the order is written to the
	 * connection; if false, the order is not sent
	 * @return the state accepted by the engine, or the reason why acceptance is not
	 * confirmed
	 */
	Single<Either<OrderFailure, DesiredState>> sendOrder(EngineOrder order, long timeoutMillis,
			BooleanSupplier canSend);

	/**
	 * Fetches the model that an engine has loaded.
	 * @param engine the engine
	 * @param timeoutMillis the timeout of the call
	 * @return the loaded model, empty if there is no valid response in time
	 */
	Single<Optional<LoadedModel>> fetchLoadedModel(Engine engine, long timeoutMillis);

}
