package org.burdocktray.connection.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.burdocktray.connection.BoundedBody;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * The client of the platform's object API over HTTP. A write without a response fails
 * with {@link StoreError#UNRESOLVED} and is never repeated by this class. Thread safety:
 * can be called from any thread.
 */
public final class HttpPlatformStore implements PlatformStore, PlatformVms {

	private static final String OBJECTS_PATH = "/v1/objects/";

	private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

	private static final int MAX_WATCH_LINE_BYTES = 8 * 1024 * 1024;

	private final HttpClient httpClient;

	private final NetworkAddress address;

	private final long callTimeoutMillis;

	/**
	 * Creates a client.
	 * @param httpClient the HTTP client with its connection pool
	 * @param address the address of the platform
	 * @param callTimeoutMillis the timeout of connecting, and of inactivity during a call
	 */
	public HttpPlatformStore(HttpClient httpClient, NetworkAddress address, long callTimeoutMillis) {
		this.httpClient = httpClient;
		this.address = address;
		this.callTimeoutMillis = callTimeoutMillis;
	}

	@Override
	public Single<Either<StoreError, Optional<StoredObject>>> read(String key) {
		Single<Either<StoreError, StoredObject>> response = call(HttpMethod.GET, OBJECTS_PATH + key, Buffer.buffer(),
				HttpPlatformStore::toObject);
		return response.map(HttpPlatformStore::emptyIfNotFound);
	}

	@Override
	public Single<Either<StoreError, List<StoredObject>>> list(String prefix) {
		return call(HttpMethod.GET, "/v1/objects?prefix=" + encode(prefix), Buffer.buffer(),
				HttpPlatformStore::toObjects);
	}

	@Override
	public Single<Either<StoreError, StoredObject>> create(String key, String value) {
		Buffer body = new JsonObject().put("value", value).toBuffer();
		return call(HttpMethod.POST, OBJECTS_PATH + key, body, HttpPlatformStore::toObject);
	}

	@Override
	public Single<Either<StoreError, StoredObject>> update(String key, StoreRevision expectedVersion, String value) {
		Buffer body = new JsonObject().put("expectedVersion", expectedVersion.number()).put("value", value).toBuffer();
		return call(HttpMethod.PUT, OBJECTS_PATH + key, body, HttpPlatformStore::toObject);
	}

	@Override
	public Flowable<StoredObject> watch(String prefix, long afterVersion) {
		String path = "/v1/watch?prefix=" + encode(prefix) + "&afterVersion=" + afterVersion;
		return Flowable.create((emitter) -> this.httpClient.request(options(HttpMethod.GET, path))
			.onFailure((cause) -> emitter.onComplete())
			.onSuccess((request) -> openWatch(request, emitter)), BackpressureStrategy.BUFFER);
	}

	@Override
	public Single<Either<StoreError, List<PlatformVm>>> listVms() {
		return call(HttpMethod.GET, "/v1/vms", Buffer.buffer(), HttpPlatformStore::toVms);
	}

	private static void openWatch(HttpClientRequest request, FlowableEmitter<StoredObject> emitter) {
		emitter.setCancellable(request::reset);
		request.send().onFailure((cause) -> emitter.onComplete()).onSuccess((response) -> {
			if (response.statusCode() != 200) {
				emitter.onComplete();
				return;
			}
			RecordParser lines = RecordParser.newDelimited("\n", response);
			lines.maxRecordSize(MAX_WATCH_LINE_BYTES);
			lines.exceptionHandler((cause) -> {
				emitter.onComplete();
				request.reset();
			});
			lines.endHandler((end) -> emitter.onComplete());
			lines.handler((line) -> acceptWatchLine(line, emitter));
		});
	}

	private static void acceptWatchLine(Buffer line, FlowableEmitter<StoredObject> emitter) {
		if (line.length() == 0) {
			return;
		}
		emitter.onNext(toObject(line));
	}

	private <T> Single<Either<StoreError, T>> call(HttpMethod method, String path, Buffer body,
			Function<Buffer, T> decoder) {
		return Single.create((emitter) -> this.httpClient.request(options(method, path))
			.onFailure((cause) -> emitter.onSuccess(Either.left(StoreError.UNAVAILABLE)))
			.onSuccess((request) -> send(method, request, body, decoder, emitter)));
	}

	private <T> void send(HttpMethod method, HttpClientRequest request, Buffer body, Function<Buffer, T> decoder,
			SingleEmitter<Either<StoreError, T>> emitter) {
		StoreError noResponseError = (method == HttpMethod.GET) ? StoreError.UNAVAILABLE : StoreError.UNRESOLVED;
		request.idleTimeout(this.callTimeoutMillis);
		request.send(body)
			.compose((response) -> BoundedBody.read(response, MAX_BODY_BYTES)
				.map((content) -> decode(response, content, decoder, noResponseError)))
			.otherwise(Either.left(noResponseError))
			.onSuccess(emitter::onSuccess);
	}

	private static <T> Either<StoreError, T> decode(HttpClientResponse response, Buffer content,
			Function<Buffer, T> decoder, StoreError malformedError) {
		switch (response.statusCode()) {
			case 200, 201:
				return decodeContent(content, decoder, malformedError);
			case 404:
				return Either.left(StoreError.NOT_FOUND);
			case 409:
				return Either.left(StoreError.CONFLICT);
			case 413:
				return Either.left(StoreError.TOO_LARGE);
			case 429, 503:
				return Either.left(StoreError.UNAVAILABLE);
			default:
				return Either.left(malformedError);
		}
	}

	private static <T> Either<StoreError, T> decodeContent(Buffer content, Function<Buffer, T> decoder,
			StoreError malformedError) {
		try {
			return Either.right(decoder.apply(content));
		}
		catch (DecodeException | ClassCastException ex) {
			return Either.left(malformedError);
		}
	}

	private static Either<StoreError, Optional<StoredObject>> emptyIfNotFound(Either<StoreError, StoredObject> result) {
		if (result.isLeft() && result.getLeft() == StoreError.NOT_FOUND) {
			return Either.right(Optional.empty());
		}
		return result.map(Optional::of);
	}

	private static StoredObject toObject(Buffer content) {
		return toObject(content.toJsonObject());
	}

	private static StoredObject toObject(JsonObject json) {
		return new StoredObject(json.getString("key"), json.getLong("version"), json.getString("value"));
	}

	private static List<StoredObject> toObjects(Buffer content) {
		JsonArray items = content.toJsonObject().getJsonArray("items", new JsonArray());
		return items.stream().map((item) -> toObject((JsonObject) item)).toList();
	}

	private static List<PlatformVm> toVms(Buffer content) {
		JsonArray items = content.toJsonObject().getJsonArray("items", new JsonArray());
		return items.stream().map((item) -> toVm((JsonObject) item)).flatMap(Optional::stream).toList();
	}

	private static Optional<PlatformVm> toVm(JsonObject item) {
		return NetworkAddress.parse(item.getString("address", ""))
			.map((vmAddress) -> new PlatformVm(item.getString("name"), new DataCentre(item.getString("dataCentre")),
					vmAddress, "leaving".equals(item.getString("state"))));
	}

	private RequestOptions options(HttpMethod method, String path) {
		return new RequestOptions().setMethod(method)
			.setHost(this.address.ip())
			.setPort(this.address.port())
			.setURI(path)
			.setConnectTimeout(this.callTimeoutMillis);
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

}
