package org.burdocktray.standins.engine;

import java.util.List;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.burdocktray.standins.JsonBodies;

/**
 * Calls the later stages of a pipeline. Invariant: a failed future always carries a
 * {@link StageFailureException}. Thread safety: belongs to one event loop.
 */
final class StageClient {

	private static final int MAX_CONNECTIONS = 1_024;

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int BAD_GATEWAY = 502;

	private final HttpClient client;

	private final long stepTimeoutMillis;

	StageClient(Vertx vertx, long stepTimeoutMillis) {
		this.client = vertx.createHttpClient(new HttpClientOptions().setMaxPoolSize(MAX_CONNECTIONS));
		this.stepTimeoutMillis = stepTimeoutMillis;
	}

	/**
	 * Hands activations to a stage. When that stage lacks earlier positions, they are
	 * handed to it from the kept outputs.
	 * @param steps the steps
	 * @param kept the state that holds the outputs of all earlier positions
	 * @return the token for the last position
	 */
	Future<String> send(StepsRequest steps, StreamState kept) {
		return post(steps).compose((answer) -> {
			if (answer.statusCode() != CONFLICT || !answer.body().toJsonObject().containsKey("expectedPosition")) {
				return readToken(answer, steps);
			}
			int expected = answer.body().toJsonObject().getInteger("expectedPosition");
			int end = steps.lastPosition() + 1;
			if (expected >= steps.fromPosition() || end > kept.nextPosition()) {
				return readToken(answer, steps);
			}
			StepsRequest whole = steps.withActivations(expected, kept.outputsBetween(expected, end));
			return post(whole).compose((second) -> readToken(second, whole));
		}).recover((cause) -> Future.failedFuture(StageFailureException.of(cause, steps.stageIndex())));
	}

	/**
	 * Cancels a stream at all stages behind the head.
	 * @param streamId the id of the stream
	 * @param attempt the attempt that ends
	 * @param stages the stages, the head first
	 */
	void cancel(String streamId, long attempt, List<Stage> stages) {
		for (Stage stage : stages.subList(1, stages.size())) {
			String path = "/v1/pipeline/streams/" + streamId + "?attempt=" + attempt;
			this.client.request(options(HttpMethod.DELETE, stage, path, this.stepTimeoutMillis))
				.compose(HttpClientRequest::send);
		}
	}

	private Future<StageResponse> post(StepsRequest steps) {
		// Earlier stages wait longer, so that the stage that hangs is the one named.
		long timeoutMillis = this.stepTimeoutMillis * (steps.stages().size() - steps.stageIndex());
		RequestOptions options = options(HttpMethod.POST, steps.stage(), "/v1/pipeline/steps", timeoutMillis);
		return this.client.request(options)
			.compose((request) -> request.send(JsonBodies.encode(steps))
				.recover((cause) -> Future.failedFuture(connectionFailure(cause, steps.stageIndex()))))
			.compose((response) -> response.body().map((body) -> new StageResponse(response.statusCode(), body)));
	}

	private static StageFailureException connectionFailure(Throwable cause, int stageIndex) {
		return new StageFailureException(stageIndex, String.valueOf(cause.getMessage()),
				!(cause instanceof TimeoutException));
	}

	private static RequestOptions options(HttpMethod method, Stage stage, String path, long timeoutMillis) {
		return new RequestOptions().setMethod(method)
			.setAbsoluteURI("http://" + stage.address() + path)
			.setTimeout(timeoutMillis);
	}

	private static Future<String> readToken(StageResponse answer, StepsRequest steps) {
		if (answer.statusCode() == OK) {
			return Future.succeededFuture(answer.body().toJsonObject().getString("token"));
		}
		if (answer.statusCode() == BAD_GATEWAY) {
			EngineBodies.StageFailure failure = JsonBodies.decode(answer.body(), EngineBodies.StageFailure.class);
			return Future
				.failedFuture(new StageFailureException(failure.failedStage(), failure.detail(), failure.crashed()));
		}
		String detail = "status " + answer.statusCode() + ": " + answer.body();
		return Future.failedFuture(new StageFailureException(steps.stageIndex(), detail, false));
	}

	private record StageResponse(int statusCode, Buffer body) {
	}

}
