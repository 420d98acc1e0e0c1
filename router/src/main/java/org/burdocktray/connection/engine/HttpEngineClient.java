package org.burdocktray.connection.engine;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.core.Single;
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
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Engine;

/**
 * An engine client over HTTP. Thread safety: the events of an attempt are emitted
 * sequentially on the event loop that started it.
 */
public final class HttpEngineClient implements EngineClient {

	private static final int STATUS_OK = 200;

	private static final int MAX_LOAD_REPORT_BYTES = 64 * 1024;

	private static final int MAX_LINE_BYTES = 64 * 1024;

	private static final long MILLIS_PER_SECOND = 1000;

	private final HttpClient httpClient;

	private final long connectTimeoutMillis;

	/**
	 * Creates a client.
	 * @param httpClient the HTTP client with its connection pool
	 * @param connectTimeoutMillis the timeout for establishing a connection
	 */
	public HttpEngineClient(HttpClient httpClient, long connectTimeoutMillis) {
		this.httpClient = httpClient;
		this.connectTimeoutMillis = connectTimeoutMillis;
	}

	@Override
	public Flowable<EngineEvent> startAttempt(AttemptRequest request) {
		return Flowable.create((emitter) -> open(request, emitter), BackpressureStrategy.BUFFER);
	}

	@Override
	public Single<EngineLoad> fetchLoad(Engine engine, long timeoutMillis) {
		RequestOptions options = options(HttpMethod.GET, engine.address(), "/v1/load").setTimeout(timeoutMillis);
		Single<EngineLoad> report = Single.create((emitter) -> {
			AtomicBoolean received = new AtomicBoolean();
			this.httpClient.request(options).compose((request) -> {
				emitter.setCancellable(() -> resetUnless(received, request));
				return request.send();
			})
				.compose((response) -> BoundedBody.read(response, MAX_LOAD_REPORT_BYTES))
				.onSuccess((body) -> received.set(true))
				.map((body) -> decodeLoad(body.toJsonObject()))
				.otherwise(EngineLoad.unreachable())
				.onSuccess(emitter::onSuccess);
		});
		// The timeout of the request restarts with each byte; this one does not.
		return report.timeout(timeoutMillis, TimeUnit.MILLISECONDS, Single.just(EngineLoad.unreachable()));
	}

	private static void resetUnless(AtomicBoolean received, HttpClientRequest request) {
		if (!received.get()) {
			request.reset();
		}
	}

	private static EngineLoad decodeLoad(JsonObject report) {
		return new EngineLoad(true, report.getInteger("inFlight", 0), report.getDouble("tokensPerSecond", 0.0),
				report.getBoolean("leaving", false));
	}

	private void open(AttemptRequest request, FlowableEmitter<EngineEvent> emitter) {
		Attempt attempt = new Attempt(request, emitter);
		RequestOptions options = options(HttpMethod.POST, request.stages().get(0).address(), "/v1/pipeline/streams")
			.setConnectTimeout(this.connectTimeoutMillis);
		this.httpClient.request(options)
			.onFailure((cause) -> attempt.finish(new EngineEvent.HeadFailed(request.attempt(), false, describe(cause))))
			.onSuccess(attempt::send);
	}

	private static EngineEvent decode(AttemptRequest request, Buffer line) {
		try {
			JsonObject json = line.toJsonObject();
			int attempt = json.getInteger("attempt", request.attempt());
			if (json.containsKey("token")) {
				return new EngineEvent.Token(attempt, json.getInteger("position"), json.getString("token"));
			}
			if (json.containsKey("failedStage")) {
				return new EngineEvent.StageFailed(attempt, json.getInteger("failedStage"),
						json.getBoolean("crashed", false), json.getString("detail", ""));
			}
			if (json.getBoolean("done", false)) {
				return new EngineEvent.Done(attempt, json.getString("finishReason", "stop"),
						json.getInteger("promptTokens", 0));
			}
			return invalidLine(request, "the engine sent an unknown line");
		}
		catch (DecodeException | ClassCastException | NullPointerException ex) {
			return invalidLine(request, "the engine sent a malformed line");
		}
	}

	private static EngineEvent invalidLine(AttemptRequest request, String detail) {
		return new EngineEvent.StageFailed(request.attempt(), 0, false, detail);
	}

	private static OptionalLong retryAfterMillis(HttpClientResponse response) {
		String seconds = response.getHeader("Retry-After");
		if (seconds == null || !seconds.matches("\\d{1,6}")) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Long.parseLong(seconds) * MILLIS_PER_SECOND);
	}

	private static RequestOptions options(HttpMethod method, NetworkAddress address, String path) {
		return new RequestOptions().setMethod(method).setHost(address.ip()).setPort(address.port()).setURI(path);
	}

	private static JsonObject toJson(AttemptRequest request) {
		JsonArray stages = new JsonArray();
		for (Engine stage : request.stages()) {
			stages.add(new JsonObject().put("address", stage.address().toString())
				.put("fromLayer", stage.fromLayer())
				.put("toLayer", stage.toLayer()));
		}
		return new JsonObject().put("streamId", request.streamId())
			.put("attempt", request.attempt())
			.put("model", request.model())
			.put("modelVersion", request.modelVersion())
			.put("priority", request.priority())
			.put("prompt", request.prompt())
			.put("maxTokens", request.maxTokens())
			.put("emittedTokens", new JsonArray(request.emittedTokens()))
			.put("stages", stages);
	}

	private static String describe(Throwable cause) {
		return (cause.getMessage() != null) ? cause.getMessage() : cause.getClass().getSimpleName();
	}

	/**
	 * An attempt on its connection. Invariant: at most one final event is emitted. The
	 * connection of an attempt that ended is kept for reuse; the connection of a
	 * cancelled attempt is closed, which cancels the attempt at the engines. Thread
	 * safety: confined to the event loop of the connection, except for {@link #cancel()}.
	 */
	private static final class Attempt {

		private final AttemptRequest attemptRequest;

		private final FlowableEmitter<EngineEvent> emitter;

		private final AtomicBoolean ended = new AtomicBoolean();

		private final AtomicReference<HttpClientRequest> httpRequest = new AtomicReference<>();

		Attempt(AttemptRequest attemptRequest, FlowableEmitter<EngineEvent> emitter) {
			this.attemptRequest = attemptRequest;
			this.emitter = emitter;
			emitter.setCancellable(this::cancel);
		}

		void send(HttpClientRequest request) {
			this.httpRequest.set(request);
			if (this.emitter.isCancelled()) {
				request.reset();
				return;
			}
			request.exceptionHandler(this::fail);
			request.send(toJson(this.attemptRequest).toBuffer()).onFailure(this::fail).onSuccess(this::onResponse);
		}

		private void onResponse(HttpClientResponse response) {
			if (response.statusCode() != STATUS_OK) {
				BoundedBody.read(response, MAX_LINE_BYTES);
				finish(new EngineEvent.Refused(this.attemptRequest.attempt(), response.statusCode(),
						retryAfterMillis(response)));
				return;
			}
			response.exceptionHandler(this::fail);
			RecordParser lines = RecordParser.newDelimited("\n", response);
			lines.maxRecordSize(MAX_LINE_BYTES);
			lines.exceptionHandler((cause) -> rejectLine(response));
			lines.endHandler((end) -> finish(new EngineEvent.HeadFailed(this.attemptRequest.attempt(), true,
					"the answer ended without its last line")));
			lines.handler(this::onLine);
		}

		private void onLine(Buffer line) {
			if (line.length() == 0 || this.ended.get()) {
				return;
			}
			EngineEvent event = decode(this.attemptRequest, line);
			if (event instanceof EngineEvent.Token) {
				this.emitter.onNext(event);
				return;
			}
			finish(event);
		}

		private void rejectLine(HttpClientResponse response) {
			finish(invalidLine(this.attemptRequest, "the engine sent a line over " + MAX_LINE_BYTES + " bytes"));
			response.request().reset();
		}

		private void fail(Throwable cause) {
			finish(new EngineEvent.HeadFailed(this.attemptRequest.attempt(), true, describe(cause)));
		}

		private void finish(EngineEvent event) {
			if (this.ended.compareAndSet(false, true)) {
				this.emitter.onNext(event);
				this.emitter.onComplete();
			}
		}

		private void cancel() {
			HttpClientRequest request = this.httpRequest.get();
			if (this.ended.compareAndSet(false, true) && request != null) {
				request.reset();
			}
		}

	}

}
