package org.burdocktray.bench.slopes;

import java.util.concurrent.CompletableFuture;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Engine;

/**
 * Sends requests for streamed responses to a router or an engine and counts the tokens of
 * the responses. Thread safety: thread-safe.
 */
final class StreamCaller implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 4_096;

	private static final int PROMPT_WORDS = 20;

	private static final int STATUS_OK = 200;

	private final Vertx vertx = Vertx.vertx();

	// All calls run on one context: if handlers were set on another thread, the response
	// could end before they are set.
	private final Context context = this.vertx.getOrCreateContext();

	private final HttpClient client = this.vertx
		.createHttpClient(new HttpClientOptions().setMaxPoolSize(MAX_CONNECTIONS));

	Future<StreamResult> callRouter(NetworkAddress router, String model, int maxTokens, String promptMarker) {
		JsonObject message = new JsonObject().put("role", "user").put("content", prompt(promptMarker));
		JsonObject body = new JsonObject().put("model", model)
			.put("stream", true)
			.put("max_tokens", maxTokens)
			.put("messages", new JsonArray().add(message));
		return send(router, "/v1/chat/completions", body, "\"content\":");
	}

	Future<StreamResult> callEngine(Engine engine, String streamId, int maxTokens, String promptMarker) {
		JsonObject stage = new JsonObject().put("address", engine.address().toString())
			.put("fromLayer", 0)
			.put("toLayer", ProcessFleet.LAYERS);
		JsonObject body = new JsonObject().put("streamId", streamId)
			.put("attempt", 1)
			.put("model", engine.model())
			.put("modelVersion", ProcessFleet.MODEL_VERSION)
			.put("priority", 0)
			.put("prompt", "user: " + prompt(promptMarker) + "\n")
			.put("maxTokens", maxTokens)
			.put("emittedTokens", new JsonArray())
			.put("stages", new JsonArray().add(stage));
		return send(engine.address(), "/v1/pipeline/streams", body, "\"token\":");
	}

	static StreamResult await(Future<StreamResult> result) {
		CompletableFuture<StreamResult> future = result.toCompletionStage().toCompletableFuture();
		return future.join();
	}

	private Future<StreamResult> send(NetworkAddress address, String path, JsonObject body, String tokenMarker) {
		Promise<StreamResult> result = Promise.promise();
		this.context.runOnContext((run) -> sendOnContext(address, path, body, tokenMarker).onComplete(result));
		return result.future();
	}

	private Future<StreamResult> sendOnContext(NetworkAddress address, String path, JsonObject body,
			String tokenMarker) {
		long startNanos = System.nanoTime();
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(address.ip())
			.setPort(address.port())
			.setURI(path)
			.putHeader("Authorization", "Bearer " + SampleFleet.apiKey(0));
		return this.client.request(options)
			.compose((request) -> request.send(body.toBuffer()))
			.compose((response) -> countTokens(response, tokenMarker, startNanos));
	}

	private static Future<StreamResult> countTokens(HttpClientResponse response, String tokenMarker, long startNanos) {
		if (response.statusCode() != STATUS_OK) {
			return response.body().compose((body) -> Future.failedFuture(response.statusCode() + " " + body));
		}
		TokenCounter counter = new TokenCounter(tokenMarker, startNanos);
		response.handler(RecordParser.newDelimited("\n", (line) -> counter.onLine(line.toString())));
		return response.end().map((end) -> counter.result());
	}

	private static String prompt(String promptMarker) {
		return ("word " + promptMarker + " ").repeat(PROMPT_WORDS);
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * The result of a completed stream.
	 *
	 * @param tokens the number of tokens received
	 * @param firstTokenNanos the time from the request to the first token
	 * @param elapsedNanos the time from the request to the end of the response
	 */
	record StreamResult(int tokens, long firstTokenNanos, long elapsedNanos) {

	}

	/** Counts the tokens of one response. Confined to the event loop of the response. */
	private static final class TokenCounter {

		private final String tokenMarker;

		private final long startNanos;

		private int tokens;

		private long firstTokenNanos;

		TokenCounter(String tokenMarker, long startNanos) {
			this.tokenMarker = tokenMarker;
			this.startNanos = startNanos;
		}

		void onLine(String line) {
			if (!line.contains(this.tokenMarker)) {
				return;
			}
			if (this.tokens == 0) {
				this.firstTokenNanos = System.nanoTime() - this.startNanos;
			}
			this.tokens++;
		}

		StreamResult result() {
			return new StreamResult(this.tokens, this.firstTokenNanos, System.nanoTime() - this.startNanos);
		}

	}

}
