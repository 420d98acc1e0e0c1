package org.burdocktray.process.serve.gateway;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.forward.WaitingRequest;

/**
 * The requests of this VM. Invariant: a request is in progress from the moment at which
 * its head has been read until its response is written to the caller's connection, or the
 * connection is closed; an unexpected exception in one request does not keep the others
 * from their progress. Thread safety: none, confined to one event loop.
 */
final class RequestsInProgress {

	private final Set<ForwardExchange> exchanges = new LinkedHashSet<>();

	private final Set<CallerResponse> responses = new LinkedHashSet<>();

	private long lastEndNanos = System.nanoTime();

	/**
	 * Adds a request whose head has been read.
	 * @param response the response to its caller, which removes itself
	 * @param onEnd called once when it has ended
	 */
	void add(CallerResponse response, Runnable onEnd) {
		this.responses.add(response);
		response.onClosed(() -> {
			this.lastEndNanos = System.nanoTime();
			if (this.responses.remove(response)) {
				onEnd.run();
			}
		});
	}

	void add(ForwardExchange exchange) {
		this.exchanges.add(exchange);
	}

	void remove(ForwardExchange exchange) {
		this.exchanges.remove(exchange);
	}

	int count() {
		return this.responses.size();
	}

	boolean isAnyWaiting() {
		return this.exchanges.stream().anyMatch(ForwardExchange::isWaiting);
	}

	/**
	 * Returns whether no request has been in progress for a while.
	 * @param quietNanos the time
	 * @return true if none is in progress and none has ended within that time
	 */
	boolean isQuietFor(long quietNanos) {
		return this.responses.isEmpty() && System.nanoTime() - this.lastEndNanos >= quietNanos;
	}

	void start(ForwardExchange exchange) {
		guard(exchange, ForwardExchange::start);
	}

	void tick(long nowNanos) {
		forEachExchange((exchange) -> exchange.checkProgress(nowNanos));
		dispatchWaiting(nowNanos);
	}

	/**
	 * Tries again to send the requests that wait.
	 * @param nowNanos the monotonic time
	 */
	void dispatchWaiting(long nowNanos) {
		if (this.exchanges.isEmpty()) {
			return;
		}
		this.exchanges.stream()
			.filter(ForwardExchange::isWaiting)
			.sorted(Comparator.comparing(ForwardExchange::waitingRequest, WaitingRequest.order(nowNanos)))
			.toList()
			.forEach((exchange) -> guard(exchange, ForwardExchange::dispatchWaiting));
	}

	/**
	 * Returns whether another request for the same service waits that goes first.
	 * @param candidate the request
	 * @param nowNanos the monotonic time
	 * @return true if it would take the capacity that the other one waits for
	 */
	boolean hasWaitingBefore(ForwardExchange candidate, long nowNanos) {
		Comparator<WaitingRequest> order = WaitingRequest.order(nowNanos);
		return this.exchanges.stream()
			.filter((other) -> other != candidate && other.isWaiting())
			.filter((other) -> other.serviceName().equals(candidate.serviceName()))
			.anyMatch((other) -> order.compare(other.waitingRequest(), candidate.waitingRequest()) < 0);
	}

	/** Ends all requests that have no final response yet. */
	void stopAll() {
		forEachExchange(ForwardExchange::stop);
		List.copyOf(this.responses).forEach(CallerResponse::refuseUnread);
	}

	/** Moves the requests on that stall because this VM is cut off from replicas. */
	void onCutOff() {
		forEachExchange(ForwardExchange::onCutOff);
	}

	void onEngineFailure(Replica engine) {
		forEachExchange((exchange) -> exchange.onEngineFailure(engine));
	}

	private void forEachExchange(Consumer<ForwardExchange> action) {
		if (this.exchanges.isEmpty()) {
			return;
		}
		List.copyOf(this.exchanges).forEach((exchange) -> guard(exchange, action));
	}

	private void guard(ForwardExchange exchange, Consumer<ForwardExchange> action) {
		try {
			action.accept(exchange);
		}
		catch (RuntimeException ex) {
			RequestEventLog.logInternalFault(ex);
			end(exchange);
		}
	}

	private void end(ForwardExchange exchange) {
		try {
			exchange.stop();
		}
		catch (RuntimeException ex) {
			RequestEventLog.logInternalFault(ex);
			this.exchanges.remove(exchange);
		}
	}

}
