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
import org.burdocktray.connection.BoundedBody;
import org.burdocktray.version.bundle.Engine;

/**
 * A client for sending orders over HTTP. Invariant: whether an order may still be sent is
 * checked after the connection is established, because the lease can expire while
 * connecting. Thread safety: can be called from any thread.
 */
public final class HttpEngineOrderClient implements EngineOrderClient {

	private static final int STATUS_OK = 200;

	private static final int MAX_BODY_BYTES = 64 * 1024;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_CONFLICT = 409;

	private static final int FIRST_ERROR_STATUS = 400;

	private final HttpClient httpClient;

	/**
	 * Creates a client.
	 * @param httpClient the HTTP client with its connection pool
	 */
	public HttpEngineOrderClient(HttpClient httpClient) {
		this.httpClient = httpClient;
	}

	@Override
	public Single<Either<OrderFailure, DesiredState>> sendOrder(EngineOrder order, long timeoutMillis,
			BooleanSupplier canSend) {
		RequestOptions options = options(HttpMethod.PUT, order.engine(), "/v1/desired", timeoutMillis);
		return Single.create((emitter) -> this.httpClient.request(options)
			.onFailure((cause) -> emitter.onSuccess(Either.left(OrderFailure.NOT_TAKEN)))
			.onSuccess((request) -> send(request, order, canSend).onSuccess(emitter::onSuccess)));
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
			BooleanSupplier canSend) {
		if (!canSend.getAsBoolean()) {
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
		// Only a client error guarantees that the order had no effect.
		boolean isClientError = status >= FIRST_ERROR_STATUS && status < FIRST_ERROR_STATUS + 100;
		return Either.left((isClientError) ? OrderFailure.NOT_TAKEN : OrderFailure.UNRESOLVED);
	}

	private static Future<Optional<LoadedModel>> toLoadedModel(HttpClientResponse response) {
		if (response.statusCode() != STATUS_OK) {
			return Future.succeededFuture(Optional.empty());
		}
		return BoundedBody.read(response, MAX_BODY_BYTES)
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
