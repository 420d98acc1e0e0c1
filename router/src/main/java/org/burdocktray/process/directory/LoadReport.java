package org.burdocktray.process.directory;

import java.util.List;
import java.util.Optional;

import org.burdocktray.model.NetworkAddress;

/**
 * What an engine says of itself. Thread safety: immutable.
 *
 * @param startedAtMillis when it started, in milliseconds since 1970
 * @param orderInProgress whether it is carrying out an order
 * @param orderSequence the number of orders it has begun since its start
 * @param layers the layers that it holds
 * @param running the requests that it is processing
 * @param queued the requests that wait
 * @param kvUsed KV cache in use, in tokens times layers
 * @param kvTotal KV cache that there is room for, in tokens times layers
 * @param slowdownFactor how many times as long its work takes as its kind's
 * @param stalledRequests the requests it received first that wait for another engine
 */
public record LoadReport(long startedAtMillis, boolean orderInProgress, long orderSequence, Optional<LayerRange> layers,
		int running, int queued, long kvUsed, long kvTotal, double slowdownFactor,
		List<StalledRequest> stalledRequests) {

	public LoadReport {
		stalledRequests = List.copyOf(stalledRequests);
	}

	/**
	 * A request that waits for an engine of its path. Thread safety: immutable.
	 *
	 * @param requestId the id of the request
	 * @param waitsFor the engine that does not answer
	 */
	public record StalledRequest(String requestId, NetworkAddress waitsFor) {

	}

}
