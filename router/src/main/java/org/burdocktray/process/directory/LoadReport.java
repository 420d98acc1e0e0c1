package org.burdocktray.process.directory;

import java.util.List;
import java.util.Optional;

import org.burdocktray.model.NetworkAddress;

/**
 * The state and load that an engine reports. Thread safety: immutable.
 *
 * @param startedAtMillis the start time of the engine, in milliseconds since 1970
 * @param orderInProgress whether it is executing an order
 * @param orderSequence the number of orders that it started to execute since its start
 * @param layers the layers that it holds, empty for none
 * @param running the number of requests in progress
 * @param queued the number of waiting requests
 * @param kvUsed the KV cache in use, in tokens times layers
 * @param kvTotal the total KV cache, in tokens times layers
 * @param slowdownFactor the factor by which it is slower than its accelerator kind
 * @param stalledRequests the requests that entered the pipeline at this engine and wait
 * for another engine
 */
public record LoadReport(long startedAtMillis, boolean orderInProgress, long orderSequence, Optional<LayerRange> layers,
		int running, int queued, long kvUsed, long kvTotal, double slowdownFactor,
		List<StalledRequest> stalledRequests) {

	public LoadReport {
		stalledRequests = List.copyOf(stalledRequests);
	}

	/**
	 * A request that is blocked by an engine of its path. Thread safety: immutable.
	 *
	 * @param requestId the id of the request
	 * @param waitsFor the address of the unresponsive engine
	 */
	public record StalledRequest(String requestId, NetworkAddress waitsFor) {

	}

}
