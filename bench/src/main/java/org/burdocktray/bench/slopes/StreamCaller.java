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
 * Sends requests for a streamed answer, to a router or to an engine, and counts the
 * tokens of the answer. Thread safety: safe from any thread.
 */
final class StreamCaller implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 4_096;

	private static final int PROMPT_WORDS = 20;

	private static final int STATUS_OK = 200;

	private final Vertx vertx = Vertx.vertx();

	// All calls run on one context: a response whose handlers are set elsewhere may have
	// ended before.
	private final Context context = this.vertx.getOrCreateContext();

	private final HttpClient client = this.vertx
		.createHttpClient(new HttpClientOptions().setMaxPoolSize(MAX_CONNECTIONS));

	Future<StreamResult> callRouter(NetworkAddress router, String model, int maxTokens, String mark) {
		JsonObject message = new JsonObject().put("role", "user").put("content", prompt(mark));
		JsonObject body = new JsonObject().put("model", model)
			.put("stream", true)
			.put("max_tokens", maxTokens)
			.put("messages", new JsonArray().add(message));
		return send(router, "/v1/chat/completions", body, "\"content\":");
	}

	Future<StreamResult> callEngine(Engine engine, String streamId, int maxTokens, String mark) {
		JsonObject stage = new JsonObject().put("address", engine.address().toString())
			.put("fromLayer", 0)
			.put("toLayer", ProcessFleet.LAYERS);
		JsonObject body = new JsonObject().put("streamId", streamId)
			.put("attempt", 1)
			.put("model", engine.model())
			.put("modelVersion", ProcessFleet.MODEL_VERSION)
			.put("priority", 0)
			.put("prompt", "user: " + prompt(mark) + "\n")
			.put("maxTokens", maxTokens)
			.put("emittedTokens", new JsonArray())
			.put("stages", new JsonArray().add(stage));
		return send(engine.address(), "/v1/pipeline/streams", body, "\"token\":");
	}

	static StreamResult await(Future<StreamResult> answer) {
		CompletableFuture<StreamResult> future = answer.toCompletionStage().toCompletableFuture();
		return future.join();
	}

	private Future<StreamResult> send(NetworkAddress address, String path, JsonObject body, String tokenMark) {
		Promise<StreamResult> answer = Promise.promise();
		this.context.runOnContext((run) -> sendNow(address, path, body, tokenMark).onComplete(answer));
		return answer.future();
	}

	private Future<StreamResult> sendNow(NetworkAddress address, String path, JsonObject body, String tokenMark) {
		long startNanos = System.nanoTime();
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(address.ip())
			.setPort(address.port())
			.setURI(path)
			.putHeader("Authorization", "Bearer " + SampleFleet.apiKey(0));
		return this.client.request(options)
			.compose((request) -> request.send(body.toBuffer()))
			.compose((response) -> count(response, tokenMark, startNanos));
	}

	private static Future<StreamResult> count(HttpClientResponse response, String tokenMark, long startNanos) {
		if (response.statusCode() != STATUS_OK) {
			return response.body().compose((body) -> Future.failedFuture(response.statusCode() + " " + body));
		}
		TokenCounter counter = new TokenCounter(tokenMark, startNanos);
		response.handler(RecordParser.newDelimited("\n", (line) -> counter.line(line.toString())));
		return response.end().map((end) -> counter.answer());
	}

	private static String prompt(String mark) {
		return ("word " + mark + " ").repeat(PROMPT_WORDS);
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * A whole answer.
	 *
	 * @param tokens the number of tokens
	 * @param firstTokenNanos the time from the request to the first token
	 * @param elapsedNanos the time from the request to the end
	 */
	record StreamResult(int tokens, long firstTokenNanos, long elapsedNanos) {

	}

	/** Counts the tokens of one answer on its event loop. */
	private static final class TokenCounter {

		private final String tokenMark;

		private final long startNanos;

		private int tokens;

		private long firstTokenNanos;

		TokenCounter(String tokenMark, long startNanos) {
			this.tokenMark = tokenMark;
			this.startNanos = startNanos;
		}

		void line(String line) {
			if (!line.contains(this.tokenMark)) {
				return;
			}
			if (this.tokens == 0) {
				this.firstTokenNanos = System.nanoTime() - this.startNanos;
			}
			this.tokens++;
		}

		StreamResult answer() {
			return new StreamResult(this.tokens, this.firstTokenNanos, System.nanoTime() - this.startNanos);
		}

	}

}
