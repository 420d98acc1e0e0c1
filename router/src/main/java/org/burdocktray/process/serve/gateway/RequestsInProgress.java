package org.burdocktray.process.serve.gateway;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.forward.WaitingRequest;

/**
 * The requests of this VM that have no final response yet. Thread safety: none, confined
 * to one event loop.
 */
final class RequestsInProgress {

	private final Set<ForwardExchange> exchanges = new LinkedHashSet<>();

	void add(ForwardExchange exchange) {
		this.exchanges.add(exchange);
	}

	void remove(ForwardExchange exchange) {
		this.exchanges.remove(exchange);
	}

	int count() {
		return this.exchanges.size();
	}

	void tick(long nowNanos) {
		List.copyOf(this.exchanges).forEach((exchange) -> exchange.checkProgress(nowNanos));
		this.exchanges.stream()
			.filter(ForwardExchange::isWaiting)
			.sorted(Comparator.comparing(ForwardExchange::waitingRequest, WaitingRequest.order(nowNanos)))
			.toList()
			.forEach(ForwardExchange::dispatchWaiting);
	}

	void stopAll() {
		List.copyOf(this.exchanges).forEach(ForwardExchange::stop);
	}

	void onEngineFailure(Replica engine) {
		List.copyOf(this.exchanges).forEach((exchange) -> exchange.onEngineFailure(engine));
	}

}
