package org.burdocktray.process.serve.gateway;

import java.util.OptionalLong;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.path.LayerPath;

/**
 * Asks engines for their load and gives them orders. No call ends with an error signal
 * for a failure of the engine. Thread safety: implementations are confined to one event
 * loop.
 */
public interface EngineControl {

	/**
	 * Asks an engine for its load.
	 * @param engine the engine
	 * @return the report, or why there is none
	 */
	Single<Either<String, LoadReport>> requestReportReport(Replica engine);

	/**
	 * Orders an engine to hold layers.
	 * @param engine the engine
	 * @param layers the layers
	 * @param expectedSequence the number of orders that it must have begun before
	 * @param fencingNumber the number of the lease under which the order is given
	 * @return what became of the order
	 */
	Single<OrderResult> orderLayers(Replica engine, LayerRange layers, long expectedSequence,
			OptionalLong fencingNumber);

	/**
	 * Orders the first engine of a request to take another path.
	 * @param requestId the request
	 * @param path the new path, whose first part is the present one's
	 * @return what became of the order
	 */
	Single<OrderResult> orderPath(String requestId, LayerPath path);

	/**
	 * What became of an order.
	 */
	enum OrderResult {

		/** It is being carried out, or is done. */
		ACCEPTED,

		/** It was refused and will not be carried out. */
		REFUSED,

		/** There is no answer; it may be carried out, also later. */
		UNRESOLVED

	}

}
