package org.burdocktray.process.serve.gateway;

import java.util.OptionalLong;
import java.util.function.BiConsumer;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.path.LayerPath;

/**
 * Requests load reports from engines and sends them orders. No call ends with an error
 * signal for a failure of the engine. Thread safety: implementations are confined to one
 * event loop.
 */
public interface EngineControl {

	/**
	 * Requests a load report.
	 * @param engine the engine
	 * @return the report, or the reason why there is none
	 */
	Single<Either<String, LoadReport>> requestReport(Replica engine);

	/**
	 * Orders an engine to hold a range of layers.
	 * @param engine the engine
	 * @param layers the layers
	 * @param expectedSequence the number of orders that the engine must have begun before
	 * this one
	 * @param fencingNumber the fencing number of the lease under which the order is given
	 * @return the result of the order
	 */
	Single<OrderResult> orderLayers(Replica engine, LayerRange layers, long expectedSequence,
			OptionalLong fencingNumber);

	/**
	 * Orders the first engine of a request to send it along another path.
	 * @param requestId the id of the request
	 * @param path the new path; its first stage is that of the current path
	 * @return the result of the order
	 */
	Single<OrderResult> orderPath(String requestId, LayerPath path);

	/**
	 * Sets who is told what engines say in the heads of their responses.
	 * @param listener receives each engine and the head of its response
	 */
	void setResponseListener(BiConsumer<Replica, ResponseHead> listener);

	/**
	 * The result of an order.
	 */
	enum OrderResult {

		/** The engine carries out the order or has done so. */
		ACCEPTED,

		/** The engine refused the order and will not carry it out. */
		REFUSED,

		/** There was no response; the engine may carry out the order, possibly later. */
		UNRESOLVED

	}

}
