package org.burdocktray.process.serve;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonObject;
import org.burdocktray.model.Refusal;
import org.burdocktray.version.bundle.Limits;

/**
 * Sends a response token by token as server-sent events. Invariant: the stream ends with
 * {@code [DONE]} or with an error event that contains the verdict and the number of
 * delivered tokens. Thread safety: confined to the event loop of the request.
 */
final class StreamingChatResponseWriter implements ChatResponseWriter {

	private static final long MILLIS_PER_SECOND = 1000;

	private final HttpServerResponse response;

	private final String requestId;

	private final String chunkPrefix;

	private final long idleTimeoutNanos;

	private int pendingWrites;

	private long lastProgressNanos;

	private boolean started;

	StreamingChatResponseWriter(HttpServerResponse response, String requestId, String model, Limits limits) {
		this.response = response;
		this.requestId = requestId;
		this.chunkPrefix = "data: {\"id\":" + Json.encode(requestId)
				+ ",\"object\":\"chat.completion.chunk\",\"created\":" + System.currentTimeMillis() / MILLIS_PER_SECOND
				+ ",\"model\":" + Json.encode(model) + ",\"choices\":[{\"index\":0,\"delta\":";
		this.idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(limits.callerIdleTimeoutMillis());
		response.setWriteQueueMaxSize((int) Math.min(Integer.MAX_VALUE, limits.maxBufferedBytesPerCaller()));
	}

	@Override
	public boolean writeToken(String text) {
		startResponse();
		if (this.response.writeQueueFull() || isCallerStalled()) {
			return false;
		}
		if (this.pendingWrites++ == 0) {
			this.lastProgressNanos = System.nanoTime();
		}
		this.response.write(this.chunkPrefix + "{\"content\":" + Json.encode(text) + "},\"finish_reason\":null}]}\n\n")
			.onSuccess((written) -> onWriteCompleted());
		return true;
	}

	@Override
	public Future<Void> complete(String finishReason, int promptTokens, int completionTokens) {
		startResponse();
		return this.response.end(this.chunkPrefix + "{},\"finish_reason\":" + Json.encode(finishReason)
				+ "}],\"usage\":{\"prompt_tokens\":" + promptTokens + ",\"completion_tokens\":" + completionTokens
				+ ",\"total_tokens\":" + (promptTokens + completionTokens) + "}}\n\ndata: [DONE]\n\n");
	}

	@Override
	public Future<Void> fail(Refusal refusal, int deliveredTokens) {
		if (!this.started) {
			return ProblemJson.send(this.response, refusal, this.requestId);
		}
		JsonObject error = ProblemJson.toJson(refusal, this.requestId).put("deliveredTokens", deliveredTokens);
		return this.response.end("event: error\ndata: " + new JsonObject().put("error", error).encode() + "\n\n");
	}

	private void onWriteCompleted() {
		this.pendingWrites--;
		this.lastProgressNanos = System.nanoTime();
	}

	private boolean isCallerStalled() {
		return this.pendingWrites > 0 && System.nanoTime() - this.lastProgressNanos > this.idleTimeoutNanos;
	}

	private void startResponse() {
		if (this.started) {
			return;
		}
		this.started = true;
		this.response.setChunked(true)
			.putHeader("Content-Type", "text/event-stream")
			.putHeader("Cache-Control", "no-cache");
	}

}
