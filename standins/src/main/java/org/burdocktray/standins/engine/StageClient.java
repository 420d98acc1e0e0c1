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
 * Sends steps and cancellations to the later stages of a pipeline. The future of a step
 * fails only with a {@link StageFailureException}. Thread safety: confined to one event
 * loop.
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
	 * Sends activations to a stage. When the stage lacks earlier positions, sends their
	 * stored outputs too.
	 * @param steps the steps
	 * @param state the state with the outputs of all earlier positions
	 * @return the token for the last position
	 */
	Future<String> send(StepsRequest steps, StreamState state) {
		return post(steps).compose((response) -> {
			if (response.statusCode() != CONFLICT || !response.body().toJsonObject().containsKey("expectedPosition")) {
				return readToken(response, steps);
			}
			int expected = response.body().toJsonObject().getInteger("expectedPosition");
			int end = steps.lastPosition() + 1;
			if (expected >= steps.fromPosition() || end > state.nextPosition()) {
				return readToken(response, steps);
			}
			StepsRequest allSteps = steps.withActivations(expected, state.outputsBetween(expected, end));
			return post(allSteps).compose((secondResponse) -> readToken(secondResponse, allSteps));
		}).recover((cause) -> Future.failedFuture(StageFailureException.of(cause, steps.stageIndex())));
	}

	/**
	 * Cancels a stream at all stages after the head.
	 * @param streamId the id of the stream
	 * @param attempt the attempt that ends
	 * @param stages the stages, starting with the head
	 */
	void cancel(String streamId, long attempt, List<Stage> stages) {
		for (Stage stage : stages.subList(1, stages.size())) {
			String path = "/v1/pipeline/streams/" + streamId + "?attempt=" + attempt;
			this.client.request(options(HttpMethod.DELETE, stage, path, this.stepTimeoutMillis))
				.compose(HttpClientRequest::send);
		}
	}

	private Future<StageResponse> post(StepsRequest steps) {
		// Calls to earlier stages get a longer timeout, so that the unresponsive stage is
		// the one reported.
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

	private static Future<String> readToken(StageResponse response, StepsRequest steps) {
		if (response.statusCode() == OK) {
			return Future.succeededFuture(response.body().toJsonObject().getString("token"));
		}
		if (response.statusCode() == BAD_GATEWAY) {
			EngineBodies.StageFailure failure = JsonBodies.decode(response.body(), EngineBodies.StageFailure.class);
			return Future
				.failedFuture(new StageFailureException(failure.failedStage(), failure.detail(), failure.crashed()));
		}
		String detail = "status " + response.statusCode() + ": " + response.body();
		return Future.failedFuture(new StageFailureException(steps.stageIndex(), detail, false));
	}

	private record StageResponse(int statusCode, Buffer body) {
	}

}
