package org.burdocktray.standins.engine;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import org.burdocktray.standins.JsonBodies;
import org.burdocktray.standins.model.Tokens;

/**
 * Runs one attempt of a stream at the head, position by position, and writes the lines of
 * the response. A position starts only after the previous token was written. Nothing is
 * written after the attempt has ended. Thread safety: confined to one event loop.
 */
final class HeadStream {

	private final StreamRequest request;

	private final HttpServerResponse response;

	private final StepRunner stepRunner;

	private final EndListener endListener;

	private final List<String> promptTokens;

	private final List<String> generated;

	private boolean ended;

	HeadStream(StreamRequest request, HttpServerResponse response, StepRunner stepRunner, EndListener endListener) {
		this.request = request;
		this.response = response;
		this.stepRunner = stepRunner;
		this.endListener = endListener;
		this.promptTokens = Tokens.split(request.prompt());
		this.generated = new ArrayList<>(request.emittedTokens());
	}

	void start() {
		this.response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
		runNextStep();
	}

	/**
	 * Ends the attempt without a last line, because a higher attempt has started or the
	 * stream was cancelled.
	 */
	void supersede() {
		this.ended = true;
		this.response.reset();
	}

	/**
	 * Ends the attempt because the caller has disconnected.
	 */
	void onCallerDisconnect() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.endListener.onEnd(this, true);
	}

	StreamRequest request() {
		return this.request;
	}

	private void runNextStep() {
		if (Tokens.isComplete(this.generated)) {
			finish("stop");
			return;
		}
		if (this.generated.size() >= this.request.maxTokens()) {
			finish("length");
			return;
		}
		this.stepRunner.run(this.request, this::tokenAt, lastPosition()).onComplete(this::onStepResult);
	}

	private void onStepResult(AsyncResult<String> result) {
		if (this.ended) {
			return;
		}
		if (result.failed()) {
			fail(StageFailureException.of(result.cause(), 0));
			return;
		}
		write(new EngineBodies.TokenLine(this.request.attempt(), this.generated.size(), result.result()));
		this.generated.add(result.result());
		runNextStep();
	}

	private void finish(String finishReason) {
		end(new EngineBodies.DoneLine(this.request.attempt(), true, finishReason, this.promptTokens.size()), true);
	}

	private void fail(StageFailureException failure) {
		end(new EngineBodies.FailedLine(this.request.attempt(), failure.failedStage(), this.generated.size(),
				failure.getMessage(), failure.crashed()), false);
	}

	private void end(Object lastLine, boolean releasesState) {
		this.ended = true;
		// Frees the slot first, so that it is free when the caller reads the last line.
		this.endListener.onEnd(this, releasesState);
		write(lastLine);
		this.response.end();
	}

	private void write(Object line) {
		String text = JsonBodies.encode(line) + "\n";
		this.response.write(text);
		if (line instanceof EngineBodies.TokenLine && this.stepRunner.isDuplicatingTokens()) {
			this.response.write(text);
		}
	}

	private String tokenAt(int position) {
		if (position < this.promptTokens.size()) {
			return this.promptTokens.get(position);
		}
		return this.generated.get(position - this.promptTokens.size());
	}

	private int lastPosition() {
		return this.promptTokens.size() + this.generated.size() - 1;
	}

	/**
	 * Runs the pipeline up to a position.
	 */
	interface StepRunner {

		Future<String> run(StreamRequest request, TokenSource tokens, int lastPosition);

		boolean isDuplicatingTokens();

	}

	/**
	 * Returns the token at a position.
	 */
	interface TokenSource {

		String tokenAt(int position);

	}

	/**
	 * Receives the end of an attempt.
	 */
	interface EndListener {

		void onEnd(HeadStream stream, boolean releasesState);

	}

}
