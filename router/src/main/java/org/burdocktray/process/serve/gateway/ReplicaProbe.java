package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.Map;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import org.burdocktray.process.directory.Replica;

/**
 * Finds out whether a replica still responds, by its health check. Any response counts,
 * also one that reports bad health: a replica that has ended sends none. Concurrent
 * probes of one replica share one call. Thread safety: none, confined to one event loop.
 */
final class ReplicaProbe {

	private static final long TIMEOUT_MILLIS = 300;

	private final Vertx vertx;

	private final ReplicaConnections connections;

	private final Map<String, Single<Result>> pending = new HashMap<>();

	ReplicaProbe(Vertx vertx, ReplicaConnections connections) {
		this.vertx = vertx;
		this.connections = connections;
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
			Future<Result> call = call(replica, healthPath);
			call.onComplete((done) -> this.vertx.runOnContext((later) -> this.pending.remove(key)));
			return Single.<Result>create((emitter) -> call.onSuccess(emitter::onSuccess)).cache();
		});
	}

	private Future<Result> call(Replica replica, String healthPath) {
		Promise<Result> result = Promise.promise();
		Future<HttpClientRequest> opened = this.connections.open(replica, HttpMethod.GET, healthPath, false);
		opened.flatMap(HttpClientRequest::send)
			.onSuccess(this.connections.responses()::discard)
			.onSuccess((response) -> result.tryComplete(Result.RESPONDS))
			.onFailure((cause) -> result.tryComplete(Result.REFUSES));
		long timer = this.vertx.setTimer(TIMEOUT_MILLIS, (fired) -> {
			if (result.tryComplete(Result.SILENT)) {
				opened.onSuccess(HttpClientRequest::reset);
			}
		});
		return result.future().onComplete((done) -> this.vertx.cancelTimer(timer));
	}

	/**
	 * What a replica does when it is probed.
	 */
	enum Result {

		/** It responds. */
		RESPONDS,

		/** Its port is closed, or it closes the connection without a response. */
		REFUSES,

		/** Nothing comes in time. */
		SILENT

	}

}
