package org.burdocktray.connection.service;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.burdocktray.connection.BoundedBody;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;

/**
 * A service client over HTTP. A call that fails before its connection is established did
 * not run; a call that fails later may have run. The response is held in memory up to a
 * limit. Thread safety: can be called from any thread.
 */
public final class HttpServiceClient implements ServiceClient {

	private static final String NOT_RUN_HEADER = "X-Not-Run";

	private static final int STATUS_UNAVAILABLE = 503;

	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private final HttpClient httpClient;

	private final long connectTimeoutMillis;

	/**
	 * Creates a client.
	 * @param httpClient the HTTP client with its connection pool
	 * @param connectTimeoutMillis the timeout for establishing a connection
	 */
	public HttpServiceClient(HttpClient httpClient, long connectTimeoutMillis) {
		this.httpClient = httpClient;
		this.connectTimeoutMillis = connectTimeoutMillis;
	}

	@Override
	public Single<Either<ServiceFailure, ServiceResponse>> call(NetworkAddress address, ServiceCall call) {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.valueOf(call.method()))
			.setHost(address.ip())
			.setPort(address.port())
			.setURI(call.pathAndQuery())
			.setConnectTimeout(this.connectTimeoutMillis);
		return Single.create((emitter) -> this.httpClient.request(options)
			.onFailure((cause) -> emitter.onSuccess(failure(Verdict.NOT_RUN, cause)))
			.onSuccess((request) -> trySend(call, request, emitter)));
	}

	private static void trySend(ServiceCall call, HttpClientRequest request,
			SingleEmitter<Either<ServiceFailure, ServiceResponse>> emitter) {
		try {
			send(call, request, emitter);
		}
		catch (IllegalArgumentException ex) {
			// A header of the caller cannot be sent on; nothing was sent yet.
			request.reset();
			emitter.onSuccess(failure(Verdict.NOT_RUN, ex));
		}
	}

	private static void send(ServiceCall call, HttpClientRequest request,
			SingleEmitter<Either<ServiceFailure, ServiceResponse>> emitter) {
		request.idleTimeout(call.timeoutMillis());
		request.putHeader("X-Request-Id", call.requestId());
		call.contentType().ifPresent((type) -> request.putHeader("Content-Type", type));
		call.idempotencyKey().ifPresent((key) -> request.putHeader("Idempotency-Key", key));
		request.send(Buffer.buffer(call.body()))
			.compose(HttpServiceClient::readResponse)
			.onSuccess(emitter::onSuccess)
			.onFailure((cause) -> emitter.onSuccess(failure(Verdict.MAY_HAVE_RUN, cause)));
	}

	private static Future<Either<ServiceFailure, ServiceResponse>> readResponse(HttpClientResponse response) {
		if (response.statusCode() == STATUS_UNAVAILABLE && response.getHeader(NOT_RUN_HEADER) != null) {
			return Future
				.succeededFuture(Either.left(new ServiceFailure(Verdict.NOT_RUN, true, "the upstream is leaving")));
		}
		String contentType = response.headers().get("Content-Type");
		return BoundedBody.read(response, MAX_BODY_BYTES)
			.map((body) -> Either.right(new ServiceResponse(response.statusCode(),
					(contentType != null) ? contentType : "application/octet-stream", body.getBytes())));
	}

	private static Either<ServiceFailure, ServiceResponse> failure(Verdict verdict, Throwable cause) {
		String detail = (cause.getMessage() != null) ? cause.getMessage() : cause.getClass().getSimpleName();
		return Either.left(new ServiceFailure(verdict, false, detail));
	}

}
