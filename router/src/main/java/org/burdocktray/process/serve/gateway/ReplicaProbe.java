package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.ConnectTimeoutException;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.burdocktray.process.directory.Replica;

/**
 * Finds out whether a replica still responds, by its health check. Any response counts,
 * also one that reports bad health: a replica that has ended sends none. Only a response
 * with the id of another replica shows that the one asked for has ended. Concurrent
 * probes of one replica share one call, except those with a timeout of their own. Thread
 * safety: none, confined to one event loop.
 */
final class ReplicaProbe {

	private static final long TIMEOUT_MILLIS = 300;

	private final Vertx vertx;

	private final ReplicaConnections connections;

	private final HeaderCodec headers;

	private final LimitedReplicas limits;

	private final Map<String, Single<Result>> pending = new HashMap<>();

	ReplicaProbe(Vertx vertx, ReplicaConnections connections, HeaderCodec headers, LimitedReplicas limits) {
		this.limits = limits;
		this.vertx = vertx;
		this.connections = connections;
		this.headers = headers;
	}

	/**
	 * Probes a replica.
	 * @param replica the replica
	 * @param healthPath the path of its health check
	 * @return what the replica did
	 */
	Single<Result> probe(Replica replica, String healthPath) {
		String key = UpstreamNames.of(replica);
		return this.pending.computeIfAbsent(key, (absent) -> {
			Future<Result> call = call(replica, healthPath, TIMEOUT_MILLIS);
			call.onComplete((done) -> this.vertx.runOnContext((later) -> this.pending.remove(key)));
			return Single.<Result>create((emitter) -> call.onSuccess(emitter::onSuccess)).cache();
		});
	}

	/**
	 * Probes a replica with a call of its own, which is kept open for some time.
	 * @param replica the replica
	 * @param healthPath the path of its health check
	 * @param timeoutMillis how long it is kept open
	 * @return what the replica did
	 */
	Single<Result> probe(Replica replica, String healthPath, long timeoutMillis) {
		Future<Result> call = call(replica, healthPath, timeoutMillis);
		return Single.create((emitter) -> call.onSuccess(emitter::onSuccess));
	}

	private Future<Result> call(Replica replica, String healthPath, long timeoutMillis) {
		// It has just responded to ask for the pause.
		if (this.limits.isPaused(replica)) {
			return Future.succeededFuture(Result.RESPONDS);
		}
		Promise<Result> result = Promise.promise();
		this.limits.recordRequest(replica);
		Future<HttpClientRequest> opened = open(replica, healthPath);
		opened.flatMap(HttpClientRequest::send)
			.onSuccess(this.connections.responses()::discard)
			.onSuccess((response) -> result.tryComplete(resultOf(replica, response)))
			.onFailure((cause) -> result.tryComplete(resultOf(cause)));
		long timer = this.vertx.setTimer(timeoutMillis, (fired) -> {
			if (result.tryComplete(Result.SILENT)) {
				opened.onSuccess(HttpClientRequest::reset);
			}
		});
		return result.future().onComplete((done) -> this.vertx.cancelTimer(timer));
	}

	// The client throws once it has been closed.
	private Future<HttpClientRequest> open(Replica replica, String healthPath) {
		try {
			return this.connections.open(replica, HttpMethod.GET, healthPath, Optional.empty());
		}
		catch (IllegalStateException ex) {
			return Future.failedFuture(ex);
		}
	}

	private Result resultOf(Replica replica, HttpClientResponse response) {
		ResponseHead head = this.headers.readResponse(response.statusCode(), response.headers());
		boolean isOther = head.instanceId().filter((id) -> !id.equals(replica.id())).isPresent();
		if (!isOther) {
			this.limits.recordResponse(replica, head);
		}
		return isOther ? Result.OTHER_INSTANCE : Result.RESPONDS;
	}

	// A host that drops packets is silent.
	private static Result resultOf(Throwable cause) {
		if (cause instanceof IllegalStateException) {
			return Result.NOT_SENT;
		}
		return (cause instanceof ConnectTimeoutException) ? Result.SILENT : Result.REFUSES;
	}

	/**
	 * What a replica does when it is probed.
	 */
	enum Result {

		/** It responds. */
		RESPONDS,

		/** Another replica responds at its address. */
		OTHER_INSTANCE,

		/** Its port is closed, or it closes the connection without a response. */
		REFUSES,

		/** Nothing comes in time. */
		SILENT,

		/**
		 * This VM stops and sends no probe any more. Says nothing about the replica: it
		 * is no evidence of a crash, and no run may begin there because of it.
		 */
		NOT_SENT

	}

}
