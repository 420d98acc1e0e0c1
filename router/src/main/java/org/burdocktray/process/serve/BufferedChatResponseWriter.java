package org.burdocktray.process.serve;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.burdocktray.model.Refusal;

/**
 * Buffers the tokens of a response and sends it as one JSON object. Thread safety:
 * confined to the event loop of the request.
 */
final class BufferedChatResponseWriter implements ChatResponseWriter {

	private static final long MILLIS_PER_SECOND = 1000;

	private final HttpServerResponse response;

	private final String requestId;

	private final String model;

	private final StringBuilder text = new StringBuilder();

	BufferedChatResponseWriter(HttpServerResponse response, String requestId, String model) {
		this.response = response;
		this.requestId = requestId;
		this.model = model;
	}

	@Override
	public boolean writeToken(String tokenText) {
		this.text.append(tokenText);
		return true;
	}

	@Override
	public Future<Void> complete(String finishReason, int promptTokens, int completionTokens) {
		JsonObject message = new JsonObject().put("role", "assistant").put("content", this.text.toString());
		JsonObject choice = new JsonObject().put("index", 0).put("message", message).put("finish_reason", finishReason);
		JsonObject usage = new JsonObject().put("prompt_tokens", promptTokens)
			.put("completion_tokens", completionTokens)
			.put("total_tokens", promptTokens + completionTokens);
		JsonObject body = new JsonObject().put("id", this.requestId)
			.put("object", "chat.completion")
			.put("created", System.currentTimeMillis() / MILLIS_PER_SECOND)
			.put("model", this.model)
			.put("choices", new JsonArray().add(choice))
			.put("usage", usage);
		return this.response.putHeader("Content-Type", "application/json").end(body.toBuffer());
	}

	@Override
	public Future<Void> fail(Refusal refusal, int deliveredTokens) {
		return ProblemJson.send(this.response, refusal, this.requestId);
	}

}
