package org.burdocktray.connection.engine;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.burdocktray.version.bundle.Engine;

/**
 * Orders over HTTP. Invariant: the question whether the order may still be sent is asked
 * once the connection is there, so that connecting can't outlast the lease. Thread
 * safety: safe from any thread.
 */
public final class HttpEngineOrderClient implements EngineOrderClient {

	private static final int STATUS_OK = 200;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_CONFLICT = 409;

	private static final int FIRST_ERROR_STATUS = 400;

	private final HttpClient httpClient;

	/**
	 * Creates a client.
	 * @param httpClient the pool of connections
	 */
	public HttpEngineOrderClient(HttpClient httpClient) {
		this.httpClient = httpClient;
	}

	@Override
	public Single<Either<OrderFailure, DesiredState>> sendOrder(EngineOrder order, long timeoutMillis,
			BooleanSupplier maySend) {
		RequestOptions options = options(HttpMethod.PUT, order.engine(), "/v1/desired", timeoutMillis);
		return Single.create((emitter) -> this.httpClient.request(options)
			.onFailure((cause) -> emitter.onSuccess(Either.left(OrderFailure.NOT_TAKEN)))
			.onSuccess((request) -> send(request, order, maySend).onSuccess(emitter::onSuccess)));
	}

	@Override
	public Single<Optional<LoadedModel>> fetchLoadedModel(Engine engine, long timeoutMillis) {
		RequestOptions options = options(HttpMethod.GET, engine, "/v1/load", timeoutMillis);
		return Single.create((emitter) -> this.httpClient.request(options)
			.compose(HttpClientRequest::send)
			.compose(HttpEngineOrderClient::toLoadedModel)
			.otherwise(Optional.empty())
			.onSuccess(emitter::onSuccess));
	}

	private static Future<Either<OrderFailure, DesiredState>> send(HttpClientRequest request, EngineOrder order,
			BooleanSupplier maySend) {
		if (!maySend.getAsBoolean()) {
			request.reset();
			return Future.succeededFuture(Either.left(OrderFailure.NOT_TAKEN));
		}
		return request.send(toJson(order).toBuffer())
			.map((response) -> toResult(response, order))
			.otherwise(Either.left(OrderFailure.UNRESOLVED));
	}

	private static Either<OrderFailure, DesiredState> toResult(HttpClientResponse response, EngineOrder order) {
		int status = response.statusCode();
		if (status == STATUS_NO_CONTENT) {
			return Either.right(order.desired());
		}
		if (status == STATUS_CONFLICT) {
			return Either.left(OrderFailure.FENCED);
		}
		// Only a client error says that the order had no effect.
		boolean refused = status >= FIRST_ERROR_STATUS && status < FIRST_ERROR_STATUS + 100;
		return Either.left((refused) ? OrderFailure.NOT_TAKEN : OrderFailure.UNRESOLVED);
	}

	private static Future<Optional<LoadedModel>> toLoadedModel(HttpClientResponse response) {
		if (response.statusCode() != STATUS_OK) {
			return Future.succeededFuture(Optional.empty());
		}
		return response.body()
			.map((body) -> body.toJsonObject())
			.map((json) -> Optional
				.of(new LoadedModel(json.getString("model", ""), json.getString("modelVersion", ""))));
	}

	private static JsonObject toJson(EngineOrder order) {
		DesiredState desired = order.desired();
		return new JsonObject().put("fencingNumber", order.fencingNumber())
			.put("model", desired.model())
			.put("modelVersion", desired.modelVersion())
			.put("adapters", new JsonArray(desired.adapters()))
			.put("fromLayer", desired.fromLayer())
			.put("toLayer", desired.toLayer())
			.put("role", desired.role());
	}

	private static RequestOptions options(HttpMethod method, Engine engine, String path, long timeoutMillis) {
		return new RequestOptions().setMethod(method)
			.setHost(engine.address().ip())
			.setPort(engine.address().port())
			.setURI(path)
			.setConnectTimeout(timeoutMillis)
			.setTimeout(timeoutMillis);
	}

}
