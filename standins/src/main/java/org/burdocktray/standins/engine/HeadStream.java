package org.burdocktray.standins.engine;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import org.burdocktray.standins.JsonBodies;
import org.burdocktray.standins.model.Tokens;

/**
 * Drives one attempt of a stream, position by position, and writes its lines. Invariant:
 * the next position is started only after the token before it was written; nothing is
 * written after the attempt has ended. Thread safety: belongs to one event loop.
 */
final class HeadStream {

	private final StreamRequest request;

	private final HttpServerResponse response;

	private final StepRunner stepRunner;

	private final EndListener endListener;

	private final List<String> promptTokens;

	private final List<String> generated;

	private boolean ended;

	HeadStream(StreamRequest request, HttpServerResponse response, StepRunner stepping, EndListener ending) {
		this.request = request;
		this.response = response;
		this.stepRunner = stepping;
		this.endListener = ending;
		this.promptTokens = Tokens.split(request.prompt());
		this.generated = new ArrayList<>(request.emittedTokens());
	}

	void start() {
		this.response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
		runNextStep();
	}

	/**
	 * Ends the attempt without a last line, since a higher attempt has entered.
	 */
	void supersede() {
		this.ended = true;
		this.response.reset();
	}

	/**
	 * Ends the attempt because its caller has gone.
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

	private void end(Object lastLine, boolean dropsState) {
		this.ended = true;
		// A caller that has the last line can count on the slot being free.
		this.endListener.onEnd(this, dropsState);
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
	 * Gives the token at a position.
	 */
	interface TokenSource {

		String tokenAt(int position);

	}

	/**
	 * Is told that an attempt has ended.
	 */
	interface EndListener {

		void onEnd(HeadStream stream, boolean dropsState);

	}

}
